package main

import (
	"context"
	"fmt"
	"strings"

	"snipepitch.example/snipepitch/snipeproto"
)

// instances prints the live instances. The called instance requests the revision
// in force from each of them.
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
	return c.printTable("NAME\tDOMAIN\tPEERS\tOPERATORS\tREVISION\tANSWERED\tLEAVING", rows)
}

// warnSilent warns that a list lacks the entries of the instances that did not
// answer.
func (c *client) warnSilent(silent []string) {
	if len(silent) > 0 {
		_, _ = fmt.Fprintln(c.messages, "snipectl: no answer from", strings.Join(silent, ", "))
	}
}

// engines prints the engines, their owners and resident adapters.
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
	return c.printTable("NAME\tBASE\tDOMAIN\tOWNER\tFENCE\tSLOTS\tCALLS\tRESIDENT", rows)
}

// upstreams prints the engines and the upstreams of plain services.
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
	return c.printTable("NAME\tKIND\tADDRESS\tDOMAIN\tOWNER", rows)
}

// adapters prints the resident adapters of the named team, or without a name those
// of all teams that the operator's key may see.
func adapters(ctx context.Context, c *client, arguments []string) error {
	team, err := optionalArgument(arguments)
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
	return c.printTable("ADAPTER\tDECLARED\tENGINES", rows)
}

// leases prints the leases of instances with the engines owned under each.
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
	return c.printTable("INSTANCE\tINCARNATION\tLEAVING\tENGINES", rows)
}
