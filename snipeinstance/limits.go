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
	// demandTopic is the topic of announced demands of limited teams.
	demandTopic = "Demand"
	// demandInterval is the time between two looks at demands.
	demandInterval = time.Second
	// heardTTL is how long a heard demand counts unless it is renewed; the
	// announcement itself expires earlier when its instance falls silent.
	heardTTL = 2 * demandInterval
)

// limits is this instance's part of admission.
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

// admit counts a call against the instance's bound and its team's limits.
func (l *limits) admit(c *snipecall.Call) (func(), error) {
	i := l.instance
	if i.callers.InFlight() > int64(i.Config.MaxCalls) {
		return nil, snipeerror.New(snipeerror.ErrOverloaded, snipeerror.NotRun, "too many calls in flight").After(time.Second)
	}
	return l.teams.Admit(c)
}

// queue returns the queue of an upstream that this instance executes calls at.
func (l *limits) queue(c *snipecall.Call) *snipelimit.Queue {
	batch := l.instance.settings.Current().Platform.Engines[c.Upstream].Batch
	l.lock.Lock()
	defer l.lock.Unlock()
	q, ok := l.queues[c.Upstream]
	if !ok {
		q = snipelimit.NewQueue(batch)
		l.queues[c.Upstream] = q
	}
	// An accepted edit of the batch is in force with the next call.
	q.Resize(batch)
	return q
}

// gate admits a call at its upstream: in its turn, and beside no suspect. A
// suspect waits for its own turn only.
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
		// It says nothing about the upstream's load.
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

// loop announces and hears demands, and drops queues of upstreams that are no
// longer in the settings.
func (l *limits) loop(ctx context.Context) error {
	return snipetime.Every(ctx, demandInterval, func(context.Context) { l.step() })
}

func (l *limits) step() {
	for _, d := range l.instance.members.Digests(demandTopic) {
		demand, err := strconv.ParseFloat(string(d.Data), 64)
		if err != nil || d.Origin == l.instance.Config.Name || !(demand >= 0) {
			continue
		}
		l.teams.Hear(d.Key, d.Origin, demand, heardTTL)
	}
	l.teams.Step()
	if l.instance.settings.Current() != nil {
		l.forget()
	}
}

func (l *limits) forget() {
	l.lock.Lock()
	defer l.lock.Unlock()
	for name := range l.queues {
		if !l.instance.health.known(name) {
			delete(l.queues, name)
		}
	}
}
