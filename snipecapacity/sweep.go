package snipecapacity

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Sweep holds the results of the users' benchmark for one day at several numbers of
// instances. The number of engines grows with that of the instances, and the requests
// stay the same.
type Sweep struct {
	// Command printed the table when it was run on Date.
	Command string
	Date    string
	// Days holds the outcome at each number of instances.
	Days []SweepDay
	// Rows holds one quantity of an instance each.
	Rows []SweepRow
}

// SweepDay is the outcome at one number of instances. Served and Prices are shares of
// the day's value.
type SweepDay struct {
	Instances int
	Upstreams int
	Served    float64
	Prices    float64
}

// SweepRow is one quantity of an instance at each number of instances.
type SweepRow struct {
	Name   string
	Points []SweepPoint
}

// SweepPoint is a quantity at one number of instances: Middle of the median instance,
// Busiest of the instance with the highest value.
type SweepPoint struct {
	Instances int
	Middle    float64
	Busiest   float64
}

// Duty is a task of entry instances that costs messages.
type Duty struct {
	Name string
	// Messages describes the messages that the task costs, Mechanism how they are sent.
	Messages  string
	Mechanism string
}

// Lines of the benchmark's output: sweepDay matches the outcome of a day, sweepHeader the
// numbers of instances above the table, sweepCell a cell with the middle and the busiest
// instance.
var (
	sweepDay    = regexp.MustCompile(`^sweep-\d+\s+(\d+)/(\d+)\s+\S+\s+\S+\s+(\S+)\s.*prices ([0-9.]+)`)
	sweepHeader = regexp.MustCompile(`^\s+(\d+(?:\s+\d+)+)\s+power\s+at\s+\d+`)
	sweepCell   = regexp.MustCompile(`([0-9.]+) / ([0-9.]+)`)
)

// ParseSweep reads a sweep from the benchmark's output and skips all other lines. Command
// and Date are left to the caller. It returns ErrInvalid if the output has no table.
func ParseSweep(r io.Reader) (*Sweep, error) {
	s := &Sweep{}
	var sizes []int
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		if m := sweepDay.FindStringSubmatch(line); m != nil {
			if err := s.addDay(m[1:]); err != nil {
				return nil, err
			}
		}
		if m := sweepHeader.FindStringSubmatch(line); m != nil {
			var err error
			if sizes, err = parseSizes(m[1]); err != nil {
				return nil, err
			}
			continue
		}
		if cells := sweepCell.FindAllStringSubmatchIndex(line, -1); len(sizes) > 0 && len(cells) == len(sizes) {
			if err := s.addRow(line, cells, sizes); err != nil {
				return nil, err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read sweep")
	}
	if len(s.Rows) == 0 {
		return nil, errors.Wrap(ErrInvalid, "the sweep has no table")
	}
	return s, nil
}

// addDay adds a day from the groups of sweepDay.
func (s *Sweep) addDay(cells []string) error {
	var values [4]float64
	for n, cell := range cells {
		v, err := strconv.ParseFloat(cell, 64)
		if err != nil {
			return errors.Wrapf(ErrInvalid, "day of the sweep: %v", err)
		}
		values[n] = v
	}
	s.Days = append(s.Days, SweepDay{int(values[0]), int(values[1]), values[2], values[3]})
	return nil
}

// addRow adds a row from a line and the positions of sweepCell in it.
func (s *Sweep) addRow(line string, cells [][]int, sizes []int) error {
	row := SweepRow{Name: strings.TrimSpace(line[:cells[0][0]])}
	for n, c := range cells {
		middle, err := strconv.ParseFloat(line[c[2]:c[3]], 64)
		if err != nil {
			return errors.Wrapf(ErrInvalid, "row %s: %v", row.Name, err)
		}
		busiest, err := strconv.ParseFloat(line[c[4]:c[5]], 64)
		if err != nil {
			return errors.Wrapf(ErrInvalid, "row %s: %v", row.Name, err)
		}
		row.Points = append(row.Points, SweepPoint{sizes[n], middle, busiest})
	}
	s.Rows = append(s.Rows, row)
	return nil
}

func parseSizes(text string) ([]int, error) {
	var all []int
	for _, field := range strings.Fields(text) {
		n, err := strconv.Atoi(field)
		if err != nil {
			return nil, errors.Wrapf(ErrInvalid, "sizes of the sweep: %v", err)
		}
		all = append(all, n)
	}
	return all, nil
}

// sweepBounds holds, by the name of a row, the resource whose bound applies to it, and the
// scale that converts the bound to the row's unit.
var sweepBounds = map[string]struct {
	resource Resource
	scale    float64
}{
	"entry: processor %": {Processor, 100},
	"entry: memory MB":   {Memory, 1.0 / 1e6},
	"entry: kB a second": {Control, 1.0 / 1e3},
}

// renderSweeps writes the section of entry instances.
func (in *Inputs) renderSweeps(b *strings.Builder) error {
	if len(in.Sweeps) == 0 {
		return nil
	}
	b.WriteString("## Entry instances\n\nMiddle / busiest instance; the engines grow with the instances, ten to one, the requests do not.\nThe last columns carry a line through the points on.\n\n")
	for _, s := range in.Sweeps {
		if err := s.render(b, in); err != nil {
			return err
		}
	}
	b.WriteString("| Duty | Messages | Mechanism |\n|---|---|---|\n")
	for _, d := range in.Duties {
		fmt.Fprintf(b, "| %s | %s | %s |\n", d.Name, d.Messages, d.Mechanism)
	}
	b.WriteString("\n")
	return nil
}

// AddSweep adds a sweep, or replaces the one that the same command printed.
func (in *Inputs) AddSweep(s *Sweep) {
	for n, other := range in.Sweeps {
		if other.Command == s.Command {
			in.Sweeps[n] = s
			return
		}
	}
	in.Sweeps = append(in.Sweeps, s)
}

// render writes the tables of one sweep, with each row extrapolated to the design's number
// of instances.
func (s *Sweep) render(b *strings.Builder, in *Inputs) error {
	target := in.Sizes["Instances"]
	fmt.Fprintf(b, "From `%s`, %s:\n\n", s.Command, s.Date)
	b.WriteString("| Quantity |")
	for _, p := range s.Rows[0].Points {
		fmt.Fprintf(b, " %d |", p.Instances)
	}
	fmt.Fprintf(b, " at %g | Bound |\n|---|%s---|---|\n", target, strings.Repeat("---|", len(s.Rows[0].Points)))
	for _, r := range s.Rows {
		middle, busiest, err := r.extrapolate(target)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "| %s |", r.Name)
		for _, p := range r.Points {
			fmt.Fprintf(b, " %.4g / %.4g |", p.Middle, p.Busiest)
		}
		bound := ""
		if row, ok := sweepBounds[r.Name]; ok {
			bound = fmt.Sprintf("%.4g", in.Bounds[row.resource]*row.scale)
		}
		fmt.Fprintf(b, " %.4g / %.4g | %s |\n", middle, busiest, bound)
	}
	b.WriteString("\n| Instances | Upstreams | Served | Prices |\n|---|---|---|---|\n")
	for _, d := range s.Days {
		fmt.Fprintf(b, "| %d | %d | %.3f | %.3f |\n", d.Instances, d.Upstreams, d.Served, d.Prices)
	}
	b.WriteString("\n")
	return nil
}

// extrapolate returns the values at a number of instances, by lines through the row's
// points; see Measurement.extrapolate.
func (r SweepRow) extrapolate(size float64) (middle, busiest float64, err error) {
	var middlePoints, busiestPoints []Point
	for _, p := range r.Points {
		middlePoints = append(middlePoints, Point{float64(p.Instances), p.Middle})
		busiestPoints = append(busiestPoints, Point{float64(p.Instances), p.Busiest})
	}
	for _, fit := range []struct {
		points []Point
		value  *float64
	}{{middlePoints, &middle}, {busiestPoints, &busiest}} {
		l, err := Fit(fit.points)
		if err != nil {
			return 0, 0, errors.Wrap(err, r.Name)
		}
		*fit.value = Measurement{Points: fit.points}.extrapolate(l, size)
	}
	return middle, busiest, nil
}
