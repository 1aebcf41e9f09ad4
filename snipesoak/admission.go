package snipesoak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"time"
)

const (
	// soakedShare is the AdmissionShare of seeds with shared admission. It applies also if a single
	// instance is live.
	soakedShare = 100
	// plainSlots, plainQueue and plainTime describe the plain upstreams of these seeds: a third of the
	// callers keep their slots busy.
	plainSlots, plainQueue, plainTime = 1, 4, 20 * time.Millisecond
	// metricsTimeout bounds one read of the metrics of an instance, which may be frozen.
	metricsTimeout = 200 * time.Millisecond
)

// sharesAdmission reports whether the seed uses shared admission.
func (s *Soak) sharesAdmission() bool { return rangeOf(s.Seed).sharesAdmission }

// loseCoordinator kills or freezes the instance that coordinates the plain service.
func loseCoordinator(s *Soak, r *rand.Rand, d time.Duration) string {
	i := s.findCoordinator()
	if i == nil {
		return "none"
	}
	i.faultLock.Lock()
	defer i.faultLock.Unlock()
	if r.IntN(2) == 0 {
		return "killed " + s.killFor(i, d/4)
	}
	return "frozen " + s.freezeFor(i, d)
}

var permitsOut = regexp.MustCompile(`snipepitch_admission_permits_out [1-9]`)

// findCoordinator returns an instance that has lent permits, or nil if none is found.
func (s *Soak) findCoordinator() *instance {
	for range 20 {
		for _, i := range s.instances {
			if permitsOut.MatchString(i.readMetrics()) {
				return i
			}
		}
	}
	return nil
}

// readMetrics returns the metrics of an instance; empty if it does not answer.
func (i *instance) readMetrics() string {
	ctx, cancel := context.WithTimeout(context.Background(), metricsTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.metrics.String()+"/metrics", http.NoBody)
	if err != nil {
		return ""
	}
	answer, err := client.Do(q)
	if err != nil {
		return ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return ""
	}
	return string(text)
}
