package snipesoak

import (
	"crypto/rand"
	"fmt"
	random "math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipestand"
)

const (
	// engineSlots and engineQueue are the slots of the engines of seeds with brittle upstreams and the requests that
	// wait there, engineTime the time until an answer begins. A third of the callers keep the slots busy.
	engineSlots, engineQueue, engineTime = 2, 4, 30 * time.Millisecond
	// maxRefusals is the number of refusals in a second that a brittle upstream bears, brittleQueue how many requests
	// wait there from contactTime after the first word on.
	maxRefusals, brittleQueue = 3, 1
	contactTime               = 3 * time.Second
	// extraBrittleLength is how much longer than other faults upstreams are brittle, so that the audit can check it.
	extraBrittleLength = 8 * time.Second
	// sharedPart is the first part of all prompts, soundParts the number of the others.
	sharedPart, soundParts = "aa", 6
)

// brittleFaults are the faults of the seeds with brittle upstreams and crashing parts of prompts.
var brittleFaults = []fault{
	{"upstreams are brittle", makeBrittle},
	{"a part of a prompt crashes engines", crashOnPart},
}

// brittlePeriod is a time in which the upstreams of a service were brittle.
type brittlePeriod struct {
	service   string
	upstreams int
	crashes   []snipestand.BrittleCrash
}

// judgesBrittle reports whether the seed has brittle upstreams and crashing parts of prompts.
func (s *Soak) judgesBrittle() bool { return rangeOf(s.Seed).brittle }

// setRoom sets the slots and the queue of an upstream of these seeds. Those of odd seeds state no load.
func (s *Soak) setRoom(r *runner) {
	if !s.judgesBrittle() {
		return
	}
	r.HidesLoad = s.Seed%2 == 1
	if r.Model != "" {
		r.SetCapacity(engineSlots, engineQueue, engineTime)
		return
	}
	r.SetCapacity(plainSlots, plainQueue, plainTime)
}

// makeBrittle makes the upstreams of a service brittle, unless they are.
func makeBrittle(s *Soak, r *random.Rand, d time.Duration) string {
	service, queue, lock := plainService, plainQueue, &s.brittlePlain
	if r.IntN(2) == 0 {
		service, queue, lock = engineService, engineQueue, &s.brittleEngines
	}
	if !lock.TryLock() {
		return "none: " + service + " is brittle"
	}
	defer lock.Unlock()
	upstreams := s.servicesOf(service)
	for u, link := range upstreams {
		u.OnCrash(func() { s.crashRunner(u, link) })
		u.SetBrittle(maxRefusals)
	}
	time.Sleep(contactTime)
	for u := range upstreams {
		u.SetQueue(brittleQueue)
	}
	time.Sleep(d + extraBrittleLength)
	p := brittlePeriod{service: service, upstreams: len(upstreams)}
	for u := range upstreams {
		u.SetBrittle(0)
		u.SetQueue(queue)
		p.crashes = append(p.crashes, u.TakeBrittleCrashes()...)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.brittlePeriods = append(s.brittlePeriods, p)
	return fmt.Sprint(service, ", ", len(p.crashes), " crashes")
}

// servicesOf returns the upstreams of a service with their links.
func (s *Soak) servicesOf(service string) map[*runner]netip.AddrPort {
	all := make(map[*runner]netip.AddrPort)
	for n, u := range s.runners {
		if u.Service == service {
			all[u] = s.cutter.Links[s.Instances+n].Listen
		}
	}
	return all
}

// auditBrittle checks that brittle upstreams crashed no more than 2 and a tenth of their number times in one period. A
// crash counts if most of the requests that were refused came through instances that were not disturbed.
func (s *Soak) auditBrittle() {
	for _, p := range s.brittlePeriods {
		counted := 0
		for _, c := range p.crashes {
			undisturbed := 0
			for _, id := range c.Refused {
				if !s.disturbed(s.senders[id], c.At) && !s.disturbed(storeName, c.At) {
					undisturbed++
				}
			}
			if 2*undisturbed > len(c.Refused) {
				counted++
			}
		}
		if most := 2 + p.upstreams/10; counted > most {
			s.breach("brittle upstreams are not sent what they must refuse", "%s: %d of %d crashes count, %d are allowed",
				p.service, counted, len(p.crashes), most)
		}
	}
}

// storeName names the store among what is disturbed.
const storeName = "store"

// crashOnPart sends requests with a part of a prompt that crashes the engines that begin to answer it. No two are
// alike.
func crashOnPart(s *Soak, r *random.Rand, d time.Duration) string {
	part := "dead" + rand.Text()
	for u, link := range s.servicesOf(engineService) {
		u.CrashOnPart(part, func() { s.crashRunner(u, link) })
	}
	s.lock.Lock()
	s.crashParts = append(s.crashParts, part)
	s.lock.Unlock()
	var all sync.WaitGroup
	for end := time.Now().Add(d + extraCrashLength); time.Now().Before(end); time.Sleep(crashPause) {
		i, k := s.pickInstance(r), requestKinds[2+r.IntN(2)]
		all.Go(func() { s.sendCrashing(i, k, "with a part "+rand.Text(), part) })
	}
	all.Wait()
	return part
}

// promptParts returns the parts of the prompt of a request: sharedPart, the given one or one of soundParts, and its own.
func promptParts(id string, adapter int, part string) string {
	if part == "" {
		part = fmt.Sprintf("5e%02x", adapter%soundParts)
	}
	return fmt.Sprintf("%s:100,%s:50,%s:20", sharedPart, part, id)
}

// auditParts checks that requests with a part that crashed engines were refused in time. That no other part is refused
// shows in the requests that each instance serves at last.
func (s *Soak) auditParts() {
	for _, part := range s.crashParts {
		of := func(u *runner) snipestand.CrashRecord { return u.CrashesOnPart(part) }
		s.auditCrash("a part that crashes engines is refused", part, of, snipestand.PartCrashBreaches)
	}
}
