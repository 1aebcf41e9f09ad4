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
	// healthTopic is the membership topic on which owners announce the health of their engines.
	healthTopic = "Health"
	// healthTTL is how long an announced state is valid unless it is renewed.
	healthTTL = 30 * time.Second
	// healthInterval is the time between two polls of announcements and due probes.
	healthInterval = 250 * time.Millisecond
)

// errProbeFailed is returned by a probe of an upstream that is no engine in the settings and does
// not accept a connection as an upstream of a plain service.
var errProbeFailed = errors.New("unknown upstream")

// health detects failing upstreams and exchanges the health of engines with other instances.
type health struct {
	instance *Instance
	tracker  *snipehealth.Tracker
	// execute executes a call at its upstream and records the outcome in tracker.
	execute func(ctx context.Context, c *snipecall.Call, sink snipecall.Sink) error
	// versions holds the version of the last merged announcement (snipemember.Digest) by origin and
	// key. Only the goroutine of loop accesses it.
	versions map[string]uint64
}

// announcedHealth is the state of an engine as its owner announces it.
type announcedHealth struct {
	State  snipehealth.State
	Reason snipehealth.Reason `json:",omitempty"`
}

func (i *Instance) buildHealth() {
	h := &health{instance: i}
	h.tracker = &snipehealth.Tracker{Announce: h.announce, Log: i.Log}
	h.execute = h.tracker.Watch(i.dispatch.Run)
	i.health = h
}

// owns reports whether this instance owns an engine.
func (h *health) owns(name string) bool {
	_, ok := h.instance.holder.Fence(name)
	return ok
}

// announce publishes the state of an engine that this instance owns to all instances. States of
// plain services are not announced: every instance sends calls to them and observes them itself.
func (h *health) announce(name string, s snipehealth.State, r snipehealth.Reason) {
	if !h.owns(name) {
		return
	}
	data, err := json.Marshal(announcedHealth{s, r})
	if err != nil {
		// Both fields are numbers, which always encode.
		panic(err)
	}
	h.instance.members.Announce(healthTopic, name, data, healthTTL)
}

// loop merges the announcements of other instances, probes upstreams that are out and renews the
// announcements of owned engines that are out. It returns when ctx ends.
func (h *health) loop(ctx context.Context) error {
	return snipetime.Every(ctx, healthInterval, h.step)
}

func (h *health) step(ctx context.Context) {
	if h.instance.settings.Current() == nil {
		return
	}
	h.mergeAnnouncements()
	h.tracker.Step(ctx, h.shouldProbe, h.probe)
	for name, reason := range h.tracker.DetectedOut() {
		h.announce(name, snipehealth.Out, reason)
	}
	h.tracker.Forget(h.declared)
}

// mergeAnnouncements applies the new announcements of other instances to the tracker.
func (h *health) mergeAnnouncements() {
	digests := h.instance.members.Digests(healthTopic)
	versions := make(map[string]uint64, len(digests))
	for _, d := range digests {
		key := d.Origin + "/" + d.Key
		versions[key] = d.Version
		if d.Origin == h.instance.Config.Name || h.versions[key] == d.Version {
			continue
		}
		var a announcedHealth
		if err := json.Unmarshal(d.Data, &a); err == nil {
			h.tracker.RecordAnnouncement(d.Key, a.State, a.Reason, healthTTL)
		}
	}
	h.versions = versions
}

// declared reports whether the settings in force contain an upstream, as an engine or as an
// upstream of a plain service.
func (h *health) declared(name string) bool {
	p := h.instance.settings.Current().Platform
	if _, ok := p.Engines[name]; ok {
		return true
	}
	return h.isService(name)
}

// isService reports whether an upstream belongs to a plain service.
func (h *health) isService(name string) bool {
	for _, s := range h.instance.settings.Current().Platform.Services {
		if _, ok := s.Upstreams[name]; ok {
			return true
		}
	}
	return false
}

// shouldProbe reports whether this instance probes an upstream: it owns the engine, or the upstream
// belongs to a plain service.
func (h *health) shouldProbe(name string) bool { return h.owns(name) || h.isService(name) }

// probe checks that an upstream is up: an engine must answer a request for its aliases, an upstream
// of a plain service must accept a connection.
func (h *health) probe(ctx context.Context, name string) error {
	settings, ok := h.instance.settings.Current().Platform.Engines[name]
	if ok {
		e := &snipeupstream.Engine{Name: name, Address: settings.Address, Fresh: h.instance.dispatch.Fresh}
		_, err := e.Aliases(ctx)
		return err
	}
	if h.instance.quarantine.acceptsConnection(ctx, name) {
		return nil
	}
	return errors.Wrap(errProbeFailed, name)
}
