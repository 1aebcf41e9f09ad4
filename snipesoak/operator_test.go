package snipesoak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestGrantsJudged guards against a soak that passes over denials of what is declared, or that takes proper ones for breaches.
func TestGrantsJudged(t *testing.T) {
	confirmed := time.Now()
	at := func(seconds float64) time.Time { return confirmed.Add(time.Duration(seconds * float64(time.Second))) }
	added, older := &grant{version: 3, confirmed: confirmed}, &grant{version: 2, confirmed: confirmed}
	removed := &grant{version: 3, confirmed: confirmed, removing: at(1), removed: at(1)}
	tests := map[string]struct {
		uses      []*use
		disturbed string
		want      []string
	}{
		"InTime":         {uses: []*use{{grant: added, sent: at(1.9), ended: at(2.5), status: 401}}},
		"Late":           {uses: []*use{{grant: added, sent: at(2.1), ended: at(2.2), status: 404}}, want: []string{"declarations are in force in time"}},
		"LateDisturbed":  {uses: []*use{{grant: added, sent: at(2.1), ended: at(2.2), status: 401}}, disturbed: "one"},
		"LateStore":      {uses: []*use{{grant: added, sent: at(2.1), ended: at(2.2), status: 401}}, disturbed: storeName},
		"OtherDisturbed": {uses: []*use{{grant: added, sent: at(2.1), ended: at(2.2), status: 403}}, disturbed: "two", want: []string{"declarations are in force in time"}},
		"LateRefused":    {uses: []*use{{grant: added, sent: at(2.1), ended: at(2.2), status: 503}}},
		"Removed":        {uses: []*use{{grant: removed, sent: at(0.5), ended: at(2), status: 401}}},
		"Back": {uses: []*use{
			{grant: added, sent: at(0.1), ended: at(0.2), status: 200, whole: true}, {grant: older, sent: at(0.5), ended: at(0.6), status: 401},
		}, want: []string{"declarations do not go back"}},
		"BackSoon": {uses: []*use{
			{grant: added, sent: at(0.1), ended: at(0.2), status: 200, whole: true}, {grant: older, sent: at(0.4), ended: at(0.6), status: 401},
		}},
		"NotBack": {uses: []*use{
			{grant: older, sent: at(0.1), ended: at(0.2), status: 200, whole: true}, {grant: added, sent: at(0.5), ended: at(0.6), status: 401},
		}},
		"OtherBoot": {uses: []*use{
			{grant: added, sent: at(0.1), ended: at(0.2), status: 200, whole: true, start: 1}, {grant: added, sent: at(0.5), ended: at(0.6), status: 401, start: 2},
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &Soak{uses: tt.uses, disturbances: map[string][]disturbance{tt.disturbed: {{begin: at(-1), end: at(0.1)}}}}
			for _, u := range s.uses {
				u.instance = "one"
			}
			s.auditGrants()
			var got []string
			for _, b := range s.breaches {
				got = append(got, b.Promise)
			}
			must.Eq(t, tt.want, got)
		})
	}
}
