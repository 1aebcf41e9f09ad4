package snipequota_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"snipepitch.example/snipepitch/snipecatalog"
	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipequota"
)

// BenchmarkTake measures a request for which units are left.
func BenchmarkTake(b *testing.B) {
	issuer := &snipequota.Issuer{
		Quota:     func(string) snipecatalog.Quota { return snipecatalog.Quota{PerSecond: 1e15, Burst: 1e15} },
		Instances: func() []string { return []string{"1"} }, Bounds: bounds,
	}
	a := &snipequota.Account{
		Ask: func(_ context.Context, asks []snipequota.Ask) ([]snipequota.Grant, error) {
			return issuer.Issue("1", asks), nil
		},
		Limited: func() bool { return true }, Instances: func() int { return 1 }, Bounds: bounds, Log: snipelog.Discard(),
	}
	go func() { _ = a.Run(b.Context()) }()
	w := &snipecatalog.Workspace{Name: "w", Quota: snipecatalog.Quota{PerSecond: 1e15, Burst: 1e15}}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := a.Take(b.Context(), w, 700); !ok {
			b.Fatal("refused")
		}
	}
}

// BenchmarkIssue measures one call of one of three hundred instances, with asks for sixteen
// workspaces.
func BenchmarkIssue(b *testing.B) {
	const instances, workspaces = 300, 16
	var names []string
	for n := range instances {
		names = append(names, strconv.Itoa(n))
	}
	issuer := &snipequota.Issuer{
		Quota:     func(string) snipecatalog.Quota { return large },
		Instances: func() []string { return names }, Bounds: bounds,
	}
	var asks []snipequota.Ask
	for n := range workspaces {
		asks = append(asks, snipequota.Ask{Workspace: strconv.Itoa(n), Need: 1, FirstNeed: 1, AheadOfUse: 100, Demand: 700, LevelAge: time.Second})
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		issuer.Issue(names[n%instances], asks)
		n++
	}
}
