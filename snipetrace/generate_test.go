package snipetrace_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipetrace"
)

// shape returns a shape with 3000 calls of two teams.
func shape(p snipetrace.Popularity) snipetrace.Shape {
	return snipetrace.Shape{
		Seed: 3, Calls: 3000, Length: 30 * time.Second, Popularity: p, Teams: []string{"a", "b"},
		Adapters: 50, Service: "s", Timeout: time.Second,
	}
}

// mostCalled returns the model with the most calls, apart from calls to services and to adapters
// that do not exist.
func mostCalled(records []snipetrace.Record) string {
	counts, best := map[string]int{}, ""
	for _, r := range records {
		if r.Path == "" {
			continue
		}
		counts[r.Model]++
		if counts[r.Model] > counts[best] {
			best = r.Model
		}
	}
	return best
}

// TestGenerate guards against a trace that differs between two runs with the same seed, that
// changes when it is written and read, or whose popularity does not change as its shape states.
func TestGenerate(t *testing.T) {
	steady, err := snipetrace.Generate(shape(snipetrace.Steady))
	must.NoError(t, err)
	for _, p := range []snipetrace.Popularity{snipetrace.Steady, snipetrace.Shift, snipetrace.Drift, snipetrace.Storm} {
		t.Run(string(p), func(t *testing.T) {
			records, err := snipetrace.Generate(shape(p))
			must.NoError(t, err)
			must.Eq(t, steady[:10], records[:10])
			again, err := snipetrace.Generate(shape(p))
			must.NoError(t, err)
			must.Eq(t, records, again)
			var file bytes.Buffer
			must.NoError(t, snipetrace.Write(&file, records))
			read, err := snipetrace.Read(&file)
			must.NoError(t, err)
			must.Eq(t, records, read)
			half := len(records) / 2
			switch p {
			case snipetrace.Shift:
				must.NotEq(t, mostCalled(records[:half]), mostCalled(records[half:]))
			case snipetrace.Steady, snipetrace.Storm:
				must.Eq(t, mostCalled(records[:half]), mostCalled(records[half:]))
			case snipetrace.Drift:
				must.NotEq(t, steady, records)
			}
			// A storm adds 4 times the calls of the first team, which sends half of the calls, in a
			// third of the length.
			must.Eq(t, p == snipetrace.Storm, len(records) == 3000+2000)
		})
	}
}

// TestGenerateCrashes checks that a trace has the requested number of crashing calls, and that all
// its records are valid.
func TestGenerateCrashes(t *testing.T) {
	s := shape(snipetrace.Steady)
	s.Crashes = 3
	records, err := snipetrace.Generate(s)
	must.NoError(t, err)
	crashes := 0
	for _, r := range records {
		must.NoError(t, r.Check())
		if r.Crashes {
			crashes++
		}
	}
	must.Eq(t, 3, crashes)
}

// TestReadRefuses checks which lines are rejected as invalid records.
func TestReadRefuses(t *testing.T) {
	tests := map[string]string{
		"neither model nor service": `{"Team":"t","Timeout":"1s"}`,
		"no stated outcome":         `{"Team":"t","Model":"a@1","Timeout":"1s"}`,
		"no timeout":                `{"Team":"t","Service":"s"}`,
		"key of a model call":       `{"Team":"t","Model":"a@1","Path":"p","Key":"k","Timeout":"1s"}`,
		"unknown field":             `{"Team":"t","Service":"s","Timeout":"1s","Nonsense":1}`,
		"same body twice":           "{\"Team\":\"t\",\"Service\":\"s\",\"Prompt\":\"p\",\"Timeout\":\"1s\"}\n{\"Team\":\"t\",\"Service\":\"s\",\"Prompt\":\"p\",\"Timeout\":\"1s\"}",
	}
	for name, line := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := snipetrace.Read(bytes.NewBufferString(line))
			must.ErrorIs(t, err, snipetrace.ErrBadRecord)
		})
	}
}
