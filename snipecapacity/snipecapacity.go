// Package snipecapacity calculates what each role costs at the size that the
// system is designed for, from slopes that were measured at smaller sizes.
//
// The inputs are a JSON document (docs/capacity.json) with the sizes of the design, the
// results of the users' benchmark for entry instances at several sizes, and, for
// instances with settings of their own, measurements with the command that printed them
// and for each role the terms that add up to its costs. The page docs/CAPACITY.md is
// rendered from the inputs alone, and a test compares the two, so that no sum on the
// page can go stale.
package snipecapacity

import (
	"math"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipejson"
)

// ErrInvalid is wrapped by the errors for invalid inputs.
var ErrInvalid = errors.New("invalid capacity inputs")

// Resource is a resource that a term uses.
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
	// Sizes holds the named sizes of the design, such as Instances.
	Sizes map[string]float64
	// Bounds holds the most that may be used of each resource.
	Bounds map[Resource]float64
	// Sweeps holds the benchmark's results for entry instances, one sweep for each
	// deployment. Duties describes the messages that entry instances send to each other.
	Sweeps []*Sweep `json:",omitempty"`
	Duties []Duty   `json:",omitempty"`
	// Measurements holds by name the measurements of instances with settings of their own.
	Measurements map[string]Measurement
	// Roles are the tasks of the system in the order of the page.
	Roles []Role
	// Notes are paragraphs for the end of the page, such as what fails first
	// and what was not measured.
	Notes []string
}

// Measurement is one quantity at two or more sizes.
type Measurement struct {
	// Command printed the points when it was run on Date.
	Command string
	Date    string
	// Unit is the unit of the values.
	Unit string
	// Against names the size that the points vary, one of Inputs.Sizes.
	Against string
	// Points are the sizes and values measured.
	Points []Point
}

// Point is one measured value.
type Point struct {
	Size  float64
	Value float64
}

// Role is one task of the system.
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
	// Measurement names a measurement. The term's value is its fitted line at the
	// design's size, times Times; see extrapolate for falling lines.
	Measurement string
	// Times multiplies the value, for example by the number of instances or of changes
	// a second. Its zero value is the factor 1.
	Times Factor `json:",omitzero"`
}

// Factor is a product of a number and named sizes, divided by other named sizes.
type Factor struct {
	// Number counts as 1 if it is 0.
	Number float64
	// Sizes are the sizes that multiply.
	Sizes []string `json:",omitempty"`
	// Over are the sizes that divide.
	Over []string `json:",omitempty"`
}

// Line is a line fitted to measured points. Spread is the largest absolute difference
// between a point and the line.
type Line struct {
	Intercept, Slope, Spread float64
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// extrapolate returns the value of the line l through the points at a size far beyond
// them. A falling line is noise around a constant cost, and its value could be too low
// or even negative. Its highest point is returned instead, so that the page never states
// less than the measured values.
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

// Fit returns the least-squares line through points. It returns ErrInvalid unless
// they have at least two different sizes.
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

// Decode reads the inputs and checks the measurements and the terms of the roles. Its errors wrap
// ErrInvalid. Sweeps are checked only when they are rendered.
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

// Value returns a term's value at the sizes of the design.
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

// factor returns the value of f at the sizes of the design.
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
