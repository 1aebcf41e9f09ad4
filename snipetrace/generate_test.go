package snipetrace_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipetrace"
)

func shape(p snipetrace.Popularity) snipetrace.Shape {
	return snipetrace.Shape{
		Seed: 3, Calls: 3000, Length: 30 * time.Second, Popularity: p, Teams: []string{"a", "b"},
		Adapters: 50, Service: "s", Timeout: time.Second,
	}
}

// top returns the model that most calls of a part of a trace name.
func top(records []snipetrace.Record) string {
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
				must.NotEq(t, top(records[:half]), top(records[half:]))
			case snipetrace.Steady, snipetrace.Storm:
				must.Eq(t, top(records[:half]), top(records[half:]))
			case snipetrace.Drift:
				must.NotEq(t, steady, records)
			}
			// A storm adds 4 times the first team's half of a third.
			must.Eq(t, p == snipetrace.Storm, len(records) == 3000+2000)
		})
	}
}

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
