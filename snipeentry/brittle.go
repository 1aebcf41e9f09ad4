package snipeentry

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeadmission"
	"snipepitch.example/snipepitch/snipegateway"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesignal"
)

// Requests to a brittle service need permits, as those of shared admission do: for a plain service from one
// coordinator of all its upstreams, for engines from one coordinator of each engine, since the adapter decides
// which engine may answer. A coordinator knows from the messages of the instances that ask it that it lends
// strictly (see snipeadmission), which it may do only as the owner of the engine or the service (see strictlender.go).

// enginePrefix begins the name by which the permits of one engine are asked for.
const enginePrefix = "engine:"

// brittleService returns the service whose brittleness decides about the permits of a name: of a plain service, or
// of an engine.
func (a *admission) brittleService(name string) string {
	id, isEngine := strings.CutPrefix(name, enginePrefix)
	if !isEngine {
		return name
	}
	if u := a.Engine(id); u != nil {
		return u.Service
	}
	return ""
}

// brittle reports whether the service of a name is brittle.
func (a *admission) brittle(name string) bool {
	u, known := a.brittleUpdate(name)
	return known && !u.Ended
}

// brittleUpdate returns what this instance knows of the brittleness of a name's service, and false if it knows nothing.
func (a *admission) brittleUpdate(name string) (snipesignal.BrittleUpdate, bool) {
	if a.Brittle == nil {
		return snipesignal.BrittleUpdate{}, false
	}
	return a.Brittle.Update(a.brittleService(name))
}

// acquireEngine returns a permit for a request to an engine of a brittle service. An engine that has none free is
// closed for fullTime, so that the next requests ask for others.
func (a *admission) acquireEngine(ctx context.Context, engine string, r snipeadmission.Request) (*snipegateway.Permit, error) {
	name := enginePrefix + engine
	r.Instance = a.Self.String()
	permit, err := a.acquireStrict(ctx, name, r)
	if err != nil && !a.brittle(name) && ctx.Err() == nil {
		// The engines have ceased to be brittle meanwhile, so that no permit is needed.
		return &snipegateway.Permit{Upstream: engine, Release: func(snipeadmission.Result) {}}, nil
	}
	var refused *snipeadmission.RefusedError
	if errors.As(err, &refused) && refused.Reason == snipeadmission.ReasonBusy {
		a.full.add(engine, time.Now())
	}
	return permit, err
}

// fullTime is how long an engine that had no free permit is not asked for another one. It is shorter than the time
// in which one becomes free where many requests run.
const fullTime = 20 * time.Millisecond

// fullEngines holds the engines that have just had no free permit. It is safe for concurrent use.
type fullEngines struct {
	lock  sync.Mutex // guards until
	until map[string]time.Time
}

func (f *fullEngines) add(engine string, now time.Time) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.until == nil {
		f.until = make(map[string]time.Time)
	}
	f.until[engine] = now.Add(fullTime)
}

func (f *fullEngines) has(engine string) bool {
	f.lock.Lock()
	defer f.lock.Unlock()
	until, ok := f.until[engine]
	if ok && !time.Now().Before(until) {
		delete(f.until, engine)
		return false
	}
	return ok
}

// sweep forgets the engines that may be asked again.
func (f *fullEngines) sweep() {
	now := time.Now()
	f.lock.Lock()
	defer f.lock.Unlock()
	maps.DeleteFunc(f.until, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// encodeBrittle returns the messages for services that are brittle, and for those that no longer are.
func encodeBrittle(all []snipesignal.BrittleUpdate) (brittle []*snipeproto.BrittleService, ended []*snipeproto.BrittleEnd) {
	for _, u := range all {
		if u.Ended {
			ended = append(ended, &snipeproto.BrittleEnd{Service: u.Service, AgeMilliseconds: u.Age.Milliseconds()})
			continue
		}
		brittle = append(brittle, encodeBrittleService(u))
	}
	return brittle, ended
}

func encodeBrittleService(u snipesignal.BrittleUpdate) *snipeproto.BrittleService {
	return &snipeproto.BrittleService{Service: u.Service, MaxRefusals: int64(u.MaxRefusals), AgeMilliseconds: u.Age.Milliseconds()}
}

// decodeBrittle returns the updates of messages. Those that make no sense are left out.
func decodeBrittle(brittle []*snipeproto.BrittleService, ended []*snipeproto.BrittleEnd) []snipesignal.BrittleUpdate {
	decoded := make([]snipesignal.BrittleUpdate, 0, len(brittle)+len(ended))
	for _, m := range brittle {
		n, age := m.GetMaxRefusals(), m.GetAgeMilliseconds()
		if !validName(m.GetService()) || n < 0 || n > maxLoadFigure || age < 0 || outOfRange(age) {
			continue
		}
		decoded = append(decoded, snipesignal.BrittleUpdate{
			Service: m.GetService(), MaxRefusals: int(n), Age: milliseconds(age),
		})
	}
	for _, m := range ended {
		if age := m.GetAgeMilliseconds(); validName(m.GetService()) && age >= 0 && !outOfRange(age) {
			decoded = append(decoded, snipesignal.BrittleUpdate{Service: m.GetService(), Ended: true, Age: milliseconds(age)})
		}
	}
	return decoded
}

// mergeBrittle merges what another instance knows of one service; either message may be nil.
func mergeBrittle(b *snipesignal.BrittleTracker, brittle *snipeproto.BrittleService, ended *snipeproto.BrittleEnd) {
	b.Merge(decodeBrittle([]*snipeproto.BrittleService{brittle}, []*snipeproto.BrittleEnd{ended}))
}
