package snipeinstance

import (
	"context"
	"strconv"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipelimit"
	"snipepitch.example/snipepitch/snipetime"
	"snipepitch.example/snipepitch/snipetree"
)

const (
	// demandTopic is the membership topic on which instances announce the demand of limited teams.
	demandTopic = "Demand"
	// demandInterval is the time between two polls of announced demands.
	demandInterval = time.Second
	// demandTTL is how long a received demand is valid unless the next poll renews it. The
	// announcement itself expires earlier if its instance stops renewing it.
	demandTTL = 2 * demandInterval
)

// limits admits calls on this instance: by its own bound, by the limits of teams, and by the queue
// of each upstream.
type limits struct {
	instance *Instance
	teams    *snipelimit.Teams

	lock   sync.Mutex // guards queues
	queues map[string]*snipelimit.Queue
}

func (i *Instance) buildLimits() {
	l := &limits{instance: i, queues: map[string]*snipelimit.Queue{}}
	l.teams = &snipelimit.Teams{
		Limit: l.limit, Announce: l.announce,
		Instances: func() int { return len(i.holder.View().Instances) },
	}
	i.limits = l
	i.dispatch.Gate = l.gate
}

func (l *limits) limit(team string) snipetree.Limit {
	t := l.instance.settings.Current()
	if t == nil || t.Platform == nil {
		return snipetree.Limit{}
	}
	return t.Platform.Limits[team]
}

// admit refuses a call if more than MaxCalls calls are in flight on this instance, and otherwise
// counts it against the limits of its team. The caller calls the returned function when the call
// ends.
func (l *limits) admit(c *snipecall.Call) (func(), error) {
	i := l.instance
	if i.callers.InFlight() > int64(i.Config.MaxCalls) {
		return nil, snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "too many calls in flight").After(time.Second)
	}
	return l.teams.Admit(c)
}

// queue returns this instance's queue for the call's upstream and creates it if there is none. It
// sets the size of the queue to the batch size in force.
func (l *limits) queue(c *snipecall.Call) *snipelimit.Queue {
	batch := l.instance.settings.Current().Platform.Engines[c.Upstream].Batch
	l.lock.Lock()
	defer l.lock.Unlock()
	q, ok := l.queues[c.Upstream]
	if !ok {
		q = snipelimit.NewQueue(batch)
		l.queues[c.Upstream] = q
	}
	// A change of the batch size applies from the next call on.
	q.Resize(batch)
	return q
}

// gate admits a call at its upstream: the call waits in the upstream's queue and is then refused if
// a suspect waits or runs at the upstream. A suspect skips the queue and waits only until it can
// run alone. The caller calls the returned function with the call's failure when the call ends.
func (l *limits) gate(ctx context.Context, c *snipecall.Call, alias string) (func(error), error) {
	guard := l.instance.quarantine.guard
	if c.Alone {
		return guard.Enter(ctx, c, alias)
	}
	leave, err := l.queue(c).Enter(ctx, c)
	if err != nil {
		return nil, err
	}
	done, err := guard.Enter(ctx, c, alias)
	if err != nil {
		// ErrCanceled: the refusal says nothing about the load of the upstream.
		leave(snipeerror.New(snipeerror.ErrCanceled, snipeerror.NotRun, "kept free for a suspect"))
		return nil, err
	}
	return func(err error) {
		leave(err)
		done(err)
	}, nil
}

func (l *limits) announce(team string, demand float64, ttl time.Duration) {
	data := strconv.AppendFloat(nil, demand, 'g', 3, 64)
	l.instance.members.Announce(demandTopic, team, data, ttl)
}

// loop exchanges demands with other instances and drops the queues of upstreams that are no longer
// in the settings, until ctx ends.
func (l *limits) loop(ctx context.Context) error {
	return snipetime.Every(ctx, demandInterval, func(context.Context) { l.step() })
}

func (l *limits) step() {
	for _, d := range l.instance.members.Digests(demandTopic) {
		demand, err := strconv.ParseFloat(string(d.Data), 64)
		if err != nil || d.Origin == l.instance.Config.Name || !(demand >= 0) {
			continue
		}
		l.teams.RecordDemand(d.Key, d.Origin, demand, demandTTL)
	}
	l.teams.Step()
	if l.instance.settings.Current() != nil {
		l.forget()
	}
}

// forget drops the queues of upstreams that are no longer in the settings.
func (l *limits) forget() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for name := range l.queues {
		if !l.instance.health.declared(name) {
			delete(l.queues, name)
		}
	}
}
