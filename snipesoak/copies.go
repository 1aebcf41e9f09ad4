package snipesoak

import (
	"context"
	"fmt"
	random "math/rand/v2"
	"net/http"
	"time"

	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipetime"
)

const (
	// goneInterval is the time between two entries of upstreams that are gone.
	goneInterval = 100 * time.Millisecond
	// maxRefusedInARow bounds the attempts that are refused one after another.
	maxRefusedInARow = 4
)

// copiesFault makes upstreams send answers too many: copies of earlier answers of the connection.
var copiesFault = fault{"answers too many", copyAnswers}

// copiedStatuses are the answers that upstreams send twice: refusals, successes or both.
var copiedStatuses = [][]int{
	{http.StatusMisdirectedRequest, http.StatusServiceUnavailable},
	{http.StatusOK},
	{http.StatusOK, http.StatusMisdirectedRequest, http.StatusServiceUnavailable},
}

// copyAnswers makes the upstreams send answers twice for d. Meanwhile they refuse some attempts, and entries of upstreams that
// are gone name their addresses, so that they answer 421.
func copyAnswers(s *Soak, r *random.Rand, d time.Duration) string {
	c := snipestand.AnswerCopies{Statuses: copiedStatuses[r.IntN(len(copiedStatuses))], InPieces: r.IntN(2) == 0}
	before := 0
	for _, u := range s.runners {
		before += u.Copied()
		u.SetCopies(c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	source := r.Uint32()
	for n := 0; snipetime.Sleep(ctx, goneInterval); n++ {
		s.faults.Set(snipestand.RunnerRefuses, 1+r.IntN(maxRefusedInARow)) // other faults set the same
		u := s.runners[r.IntN(len(s.runners))]
		gone := &runner{ID: fmt.Sprint("gone", source, "-", n), Service: u.Service, Model: u.Model, Address: u.Address, Software: u.Software}
		if err := gone.SendHeartbeat(s.store); err != nil {
			s.breach("the soak itself", "gone: %v", err)
		}
		defer func() { _ = s.store.Put("servers", gone.ID, nil) }()
	}
	s.faults.Set(snipestand.RunnerNoFault, 0)
	copied := -before
	for _, u := range s.runners {
		copied += u.Copied()
		u.SetCopies(snipestand.AnswerCopies{})
	}
	return fmt.Sprint(c, ", ", copied, " copies")
}
