// Package snipecapacity works out what each role costs at the size that the
// system is designed for, from slopes that were measured at smaller sizes.
//
// The inputs are a JSON document (docs/capacity.json): sizes, what the users' bench shows
// of entry instances at several sizes, and for instances with settings of their own
// measurements with the command that gave them, and for each role the terms that add up to
// its costs. The page docs/CAPACITY.md is rendered from the inputs alone, and
// a test holds the page to them, so that no sum on it can go stale.
package snipecapacity

import (
	"math"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipejson"
)

// ErrInvalid is wrapped by every error of the checks.
var ErrInvalid = errors.New("invalid capacity inputs")

// Resource is what a term costs.
type Resource string

// The resources, with their units.
const (
	Processor   Resource = "Processor"   // share of one core
	Memory      Resource = "Memory"      // bytes
	Control     Resource = "Control"     // bytes a second to and from an instance
	TableReads  Resource = "TableReads"  // reads a second at the table, all instances
	TableWrites Resource = "TableWrites" // writes a second at the table, all instances
)

// Inputs is the whole document.
type Inputs struct {
	// Sizes are the named sizes of the design, such as Instances.
	Sizes map[string]float64
	// Bounds are the most that may be used of each resource.
	Bounds map[Resource]float64
	// Sweeps are what the bench shows of entry instances on a deployment each, Duties what
	// these send to each other.
	Sweeps []*Sweep `json:",omitempty"`
	Duties []Duty   `json:",omitempty"`
	// Measurements are the measured slopes by name, of instances with settings of their own.
	Measurements map[string]Measurement
	// Roles are the duties of the system in the order of the page.
	Roles []Role
	// Notes are paragraphs for the end of the page: what breaks first, what
	// was not measured.
	Notes []string
}

// Measurement is one quantity at two or more sizes.
type Measurement struct {
	// Command gave the points, run on the date.
	Command string
	Date    string
	// Unit is the unit of the values.
	Unit string
	// Against names the size that was varied.
	Against string
	// Points are the sizes and values measured.
	Points []Point
}

// Point is one measured value.
type Point struct {
	Size  float64
	Value float64
}

// Role is one duty.
type Role struct {
	Name string
	// State, Messages and Mechanism describe the role.
	State     string
	Messages  string
	Mechanism string
	// Terms add up to the role's costs.
	Terms []Term
}

// Term is one part of a role's costs.
type Term struct {
	Resource Resource
	// Measurement names the slope; the term's value is the fitted line at the
	// design's size.
	Measurement string
	// Times multiplies the value: a product of size names and numbers,
	// such as 1 for each instance or the number of changes a second.
	Times Factor `json:",omitzero"`
}

// Factor is a product of a number and named sizes.
type Factor struct {
	Number float64
	Sizes  []string `json:",omitempty"`
	// Over are named sizes that divide.
	Over []string `json:",omitempty"`
}

// Line is a fitted line with its largest residual.
type Line struct {
	Intercept, Slope, Spread float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// extrapolate returns the value at a size far beyond the points. A falling
// line is noise around a constant cost: its highest point is taken instead, so
// that the page never promises less than what was measured.
func (m Measurement) extrapolate(l Line, size float64) float64 {
	if l.Slope >= 0 {
		return l.At(size)
	}
	highest := m.Points[0].Value
	for _, p := range m.Points {
		highest = max(highest, p.Value)
	}
	return highest
}

// Fit returns the least-squares line through points; at least two different
// sizes are needed.
func Fit(points []Point) (Line, error) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	d := n*sxx - sx*sx
	if n < 2 || d == 0 {
		return Line{}, errors.Wrap(ErrInvalid, "needs two different sizes")
	}
	l := Line{Slope: (n*sxy - sx*sy) / d}
	l.Intercept = (sy - l.Slope*sx) / n
	for _, p := range points {
		l.Spread = max(l.Spread, math.Abs(l.At(p.Size)-p.Value))
	}
	return l, nil
}

// Decode reads and checks the inputs.
func Decode(data []byte) (*Inputs, error) {
	in := &Inputs{}
	if err := snipejson.Decode(data, in); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	for name, m := range in.Measurements {
		if _, ok := in.Sizes[m.Against]; !ok {
			return nil, errors.Wrapf(ErrInvalid, "measurement %s: unknown size %q", name, m.Against)
		}
		if _, err := Fit(m.Points); err != nil {
			return nil, errors.Wrapf(err, "measurement %s", name)
		}
	}
	for _, r := range in.Roles {
		for _, t := range r.Terms {
			if _, err := in.Value(t); err != nil {
				return nil, errors.Wrapf(err, "role %s", r.Name)
			}
		}
	}
	return in, nil
}

// Value returns a term's value at the design's sizes.
func (in *Inputs) Value(t Term) (float64, error) {
	m, ok := in.Measurements[t.Measurement]
	if !ok {
		return 0, errors.Wrapf(ErrInvalid, "unknown measurement %q", t.Measurement)
	}
	l, err := Fit(m.Points)
	if err != nil {
		return 0, err
	}
	f, err := in.factor(t.Times)
	if err != nil {
		return 0, err
	}
	return f * m.extrapolate(l, in.Sizes[m.Against]), nil
}

func (in *Inputs) factor(f Factor) (float64, error) {
	product := f.Number
	if product == 0 {
		product = 1
	}
	for _, s := range f.Sizes {
		v, ok := in.Sizes[s]
		if !ok {
			return 0, errors.Wrapf(ErrInvalid, "unknown size %q", s)
		}
		product *= v
	}
	for _, s := range f.Over {
		v, ok := in.Sizes[s]
		if !ok || v == 0 {
			return 0, errors.Wrapf(ErrInvalid, "unknown or zero size %q", s)
		}
		product /= v
	}
	return product, nil
}
