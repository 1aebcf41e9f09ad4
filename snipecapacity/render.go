package snipecapacity

import (
	"fmt"
	"sort"
	"strings"
)

// resources are the resources in the order of the page.
var resources = []Resource{Processor, Memory, Control, TableReads, TableWrites}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// formatValue returns a value of a resource in the unit that the page uses.
func formatValue(r Resource, v float64) string {
	switch r {
	case Processor:
		return fmt.Sprintf("%.3f%% of a core", v*100)
	case Memory:
		return fmt.Sprintf("%.2f MiB", v/mebibyte)
	case Control:
		return fmt.Sprintf("%.2f KiB/s", v/kibibyte)
	}
	return fmt.Sprintf("%.1f/s", v)
}

// Render returns the page docs/CAPACITY.md.
func (in *Inputs) Render() (string, error) {
	var b strings.Builder
	b.WriteString(`# Capacity

Rendered by ` + "`go run ./cmd/snipecapacity render`" + ` from docs/capacity.json; do not edit by hand.
A test holds this page to its inputs.

`)
	in.renderSizes(&b)
	if err := in.renderSweeps(&b); err != nil {
		return "", err
	}
	b.WriteString("# Instances with settings of their own\n\nThe slopes below were measured by scripts of this project and are shown by no sweep.\n\n")
	if err := in.renderMeasurements(&b); err != nil {
		return "", err
	}
	sums, err := in.renderRoles(&b)
	if err != nil {
		return "", err
	}
	in.renderSums(&b, sums)
	if len(in.Notes) > 0 {
		b.WriteString("## Notes\n\n")
	}
	for _, n := range in.Notes {
		fmt.Fprintf(&b, "- %s\n", n)
	}
	return b.String(), nil
}

func (in *Inputs) renderSizes(b *strings.Builder) {
	b.WriteString("## Size of the design\n\n| Size | Value |\n|---|---|\n")
	for _, n := range sortedKeys(in.Sizes) {
		fmt.Fprintf(b, "| %s | %g |\n", n, in.Sizes[n])
	}
	b.WriteString("\n")
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	all := make([]string, 0, len(m))
	for n := range m {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}

func (in *Inputs) renderMeasurements(b *strings.Builder) error {
	b.WriteString("## Measured slopes\n\n")
	b.WriteString("| Measurement | Points (size: value) | Fit | Spread | Unit | Command, date |\n|---|---|---|---|---|---|\n")
	for _, n := range sortedKeys(in.Measurements) {
		m := in.Measurements[n]
		l, err := Fit(m.Points)
		if err != nil {
			return err
		}
		points := make([]string, 0, len(m.Points))
		for _, p := range m.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.Size, p.Value))
		}
		fmt.Fprintf(b, "| %s | %s | %.4g + %.4g x %s | %.2g | %s | `%s`, %s |\n", n, strings.Join(points, ", "),
			l.Intercept, l.Slope, m.Against, l.Spread, m.Unit, m.Command, m.Date)
	}
	b.WriteString("\n")
	return nil
}

// renderRoles writes the section of roles and returns the sum of their terms for each
// resource.
func (in *Inputs) renderRoles(b *strings.Builder) (map[Resource]float64, error) {
	sums := map[Resource]float64{}
	b.WriteString("## Roles\n\n")
	for _, r := range in.Roles {
		fmt.Fprintf(b, "### %s\n\n- State: %s\n- Messages: %s\n- Mechanism: %s\n", r.Name, r.State, r.Messages, r.Mechanism)
		for _, t := range r.Terms {
			v, err := in.Value(t)
			if err != nil {
				return nil, err
			}
			sums[t.Resource] += v
			fmt.Fprintf(b, "- %s: %s (%s%s)\n", t.Resource, formatValue(t.Resource, v), t.Measurement, t.Times.text())
		}
		b.WriteString("\n")
	}
	return sums, nil
}

// text returns the factor as the page shows it after a term.
func (f Factor) text() string {
	var s strings.Builder
	if f.Number != 0 {
		fmt.Fprintf(&s, " x %g", f.Number)
	}
	for _, n := range f.Sizes {
		s.WriteString(" x " + n)
	}
	for _, n := range f.Over {
		s.WriteString(" / " + n)
	}
	return s.String()
}

// renderSums writes the sums of resources that have a bound.
func (in *Inputs) renderSums(b *strings.Builder, sums map[Resource]float64) {
	b.WriteString("## Sums against the bounds\n\nOf the terms above, without calls; what calls add is in the notes.\n\n| Resource | Sum | Bound | Share of the bound |\n|---|---|---|---|\n")
	for _, r := range resources {
		bound, ok := in.Bounds[r]
		if !ok {
			continue
		}
		fmt.Fprintf(b, "| %s | %s | %s | %.0f%% |\n", r, formatValue(r, sums[r]), formatValue(r, bound), 100*sums[r]/bound)
	}
	b.WriteString("\n")
}
