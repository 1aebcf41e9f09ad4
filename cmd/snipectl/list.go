package main

import (
	"context"
	"fmt"
	"strings"

	"snipepitch.example/snipepitch/snipeproto"
)

func instances(ctx context.Context, c *client, _ []string) error {
	out, err := c.operator.ListInstances(ctx, &snipeproto.ListInstancesRequest{Ask: true})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	var rows []string
	for _, i := range out.GetInstances() {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%t\t%t", i.GetName(), i.GetDomain(),
			i.GetPeerAddress(), i.GetOperatorAddress(), i.GetRevision(), i.GetAnswered(), i.GetLeaving()))
	}
	return c.table("NAME\tDOMAIN\tPEERS\tOPERATORS\tREVISION\tANSWERED\tLEAVING", rows)
}

// warnSilent tells that an answer is not whole.
func (c *client) warnSilent(silent []string) {
	if len(silent) > 0 {
		_, _ = fmt.Fprintln(c.messages, "snipectl: no answer from", strings.Join(silent, ", "))
	}
}

func engines(ctx context.Context, c *client, _ []string) error {
	out, err := c.operator.ListEngines(ctx, &snipeproto.ListEnginesRequest{})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	var rows []string
	for _, e := range out.GetEngines() {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s", e.GetName(), e.GetBase(), e.GetDomain(),
			e.GetOwner(), e.GetFence(), e.GetSlots(), e.GetInFlight(), strings.Join(e.GetResident(), " ")))
	}
	c.warnSilent(out.GetSilent())
	return c.table("NAME\tBASE\tDOMAIN\tOWNER\tFENCE\tSLOTS\tCALLS\tRESIDENT", rows)
}

func upstreams(ctx context.Context, c *client, _ []string) error {
	out, err := c.operator.ListUpstreams(ctx, &snipeproto.ListUpstreamsRequest{})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	var rows []string
	for _, u := range out.GetUpstreams() {
		rows = append(rows, strings.Join([]string{u.GetName(), u.GetKind(), u.GetAddress(), u.GetDomain(), u.GetOwner()}, "\t"))
	}
	return c.table("NAME\tKIND\tADDRESS\tDOMAIN\tOWNER", rows)
}

func adapters(ctx context.Context, c *client, arguments []string) error {
	team, err := optional(arguments)
	if err != nil {
		return err
	}
	out, err := c.operator.ListAdapters(ctx, &snipeproto.ListAdaptersRequest{Team: team})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	var rows []string
	for _, a := range out.GetAdapters() {
		rows = append(rows, fmt.Sprintf("%s\t%t\t%s", a.GetAdapter(), a.GetDeclared(), strings.Join(a.GetEngines(), " ")))
	}
	c.warnSilent(out.GetSilent())
	return c.table("ADAPTER\tDECLARED\tENGINES", rows)
}

func leases(ctx context.Context, c *client, _ []string) error {
	out, err := c.operator.ListLeases(ctx, &snipeproto.ListLeasesRequest{})
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(out)
	}
	var rows []string
	for _, l := range out.GetLeases() {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%t\t%s", l.GetInstance(), l.GetIncarnation(), l.GetLeaving(),
			strings.Join(l.GetEngines(), " ")))
	}
	return c.table("INSTANCE\tINCARNATION\tLEAVING\tENGINES", rows)
}
