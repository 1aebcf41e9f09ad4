package snipeinstance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipehealth"
	"snipepitch.example/snipepitch/snipetime"
	"snipepitch.example/snipepitch/snipeupstream"
)

const (
	// healthTopic is the topic of announced states of engines.
	healthTopic = "Health"
	// healthTTL is how long an announced state counts unless it is renewed.
	healthTTL = 30 * time.Second
	// healthInterval is the time between two looks at announcements and probes.
	healthInterval = 250 * time.Millisecond
)

// errNoProbe is returned for an upstream that is not in the settings.
var errNoProbe = errors.New("unknown upstream")

// health is this instance's part of finding upstreams that fail.
type health struct {
	instance *Instance
	tracker  *snipehealth.Tracker
	// run executes calls at upstreams and observes them.
	run func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// heard has the version of the last digest by origin and key; it belongs
	// to loop's goroutine.
	heard map[string]uint64
}

// announcedHealth is the announced state of an engine.
type announcedHealth struct {
	State  snipehealth.State
	Reason snipehealth.Reason `json:",omitempty"`
}

func (i *Instance) buildHealth() {
	h := &health{instance: i}
	h.tracker = &snipehealth.Tracker{Announce: h.announce, Log: i.Log}
	h.run = h.tracker.Watch(i.dispatch.Run)
	i.health = h
}

// owns reports whether this instance owns an engine.
func (h *health) owns(name string) bool {
	_, ok := h.instance.holder.Fence(name)
	return ok
}

// announce tells all instances the state of an owned engine; of a plain
// service each instance sees enough by itself.
func (h *health) announce(name string, s snipehealth.State, r snipehealth.Reason) {
	if !h.owns(name) {
		return
	}
	data, err := json.Marshal(announcedHealth{s, r})
	if err != nil {
		// Two numbers always encode.
		panic(err)
	}
	h.instance.members.Announce(healthTopic, name, data, healthTTL)
}

// loop hears what others have announced and probes what is out.
func (h *health) loop(ctx context.Context) error {
	return snipetime.Every(ctx, healthInterval, h.step)
}

func (h *health) step(ctx context.Context) {
	if h.instance.settings.Current() == nil {
		return
	}
	h.hear()
	h.tracker.Step(ctx, h.probes, h.probe)
	for name, reason := range h.tracker.Outs() {
		h.announce(name, snipehealth.Out, reason)
	}
	h.tracker.Forget(h.known)
}

func (h *health) hear() {
	digests := h.instance.members.Digests(healthTopic)
	heard := make(map[string]uint64, len(digests))
	for _, d := range digests {
		key := d.Origin + "/" + d.Key
		heard[key] = d.Version
		if d.Origin == h.instance.Config.Name || h.heard[key] == d.Version {
			continue
		}
		var a announcedHealth
		if err := json.Unmarshal(d.Data, &a); err == nil {
			h.tracker.Hear(d.Key, a.State, a.Reason, healthTTL)
		}
	}
	h.heard = heard
}

// known reports whether an upstream is in the settings.
func (h *health) known(name string) bool {
	p := h.instance.settings.Current().Platform
	if _, ok := p.Engines[name]; ok {
		return true
	}
	return h.service(name)
}

// service reports whether an upstream is one of a plain service.
func (h *health) service(name string) bool {
	for _, s := range h.instance.settings.Current().Platform.Services {
		if _, ok := s.Upstreams[name]; ok {
			return true
		}
	}
	return false
}

// probes reports whether this instance probes an upstream.
func (h *health) probes(name string) bool { return h.owns(name) || h.service(name) }

// probe asks an upstream whether it is up.
func (h *health) probe(ctx context.Context, name string) error {
	settings, ok := h.instance.settings.Current().Platform.Engines[name]
	if ok {
		e := &snipeupstream.Engine{Name: name, Address: settings.Address, Fresh: h.instance.dispatch.Fresh}
		_, err := e.Aliases(ctx)
		return err
	}
	if h.instance.quarantine.answers(ctx, name) {
		return nil
	}
	return errors.Wrap(errNoProbe, name)
}
