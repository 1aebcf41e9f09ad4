package snipeinstance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelease"
	"snipepitch.example/snipepitch/snipemember"
	"snipepitch.example/snipepitch/snipepeer"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeupstream"
)

// buildMembers creates the membership of this instance.
func (i *Instance) buildMembers(table snipeplatform.Table) {
	c := i.Config
	// Each request opens a new connection: a pooled one may be dead without an error, so it does
	// not show whether the peer can be reached.
	fresh := snipeupstream.NewFresh(i.peerDial("Members"))
	i.members = &snipemember.Membership{
		Self:     snipemember.Member{Name: c.Name, Address: c.Announced(), Domain: c.Domain},
		HTTP:     &snipepeer.SecretClient{Client: fresh, Secret: c.PeerSecret},
		Seeds:    func(ctx context.Context) ([]snipemember.Seed, error) { return i.seeds(ctx, table) },
		Interval: snipemember.DefaultInterval, Timeout: snipemember.DefaultTimeout,
		Random: rand.IntN, Log: i.Log,
	}
}

// rowSeedInterval is the time between two reads of all lease rows for seeds once other instances
// are known.
const rowSeedInterval = 10 * time.Minute

// seeds returns the instances that the platform lists. While no other instance is known it adds
// those that have lease rows. If other instances are known but the platform lists none, it returns
// those that have lease rows; it reads these rows at most once in rowSeedInterval and returns the
// result of the last read in between. It returns an error only if no seed is found.
func (i *Instance) seeds(ctx context.Context, table snipeplatform.Table) ([]snipemember.Seed, error) {
	var all []snipemember.Seed
	var listed error
	if c := i.Config.Platform; c.InstanceList.IsValid() {
		var list []snipeplatform.ListedInstance
		list, listed = snipeplatform.InstanceList{Address: c.InstanceList, Timeout: c.Timeout.Value()}.Read(ctx)
		for _, l := range list {
			all = append(all, snipemember.Seed{Name: l.Name, Address: l.Address})
		}
	}
	known := len(i.members.Members()) > 1
	if known && len(all) > 0 {
		return all, nil
	}
	if known && time.Since(i.rowSeedsRead) < rowSeedInterval {
		return i.rowSeeds, nil
	}
	i.rowSeedsRead = time.Now()
	instances, err := snipelease.ReadInstances(ctx, table)
	for _, m := range instances {
		all = append(all, snipemember.Seed{Name: m.Name, Address: m.PeerAddress})
	}
	if len(all) == 0 {
		return nil, errors.Join(listed, err)
	}
	i.rowSeeds = all
	return all, nil
}

// goneTimeout bounds the announcement that this instance has left, claimsTimeout the wait for the
// claim rows of calls that have their answers.
const (
	goneTimeout   = time.Second
	claimsTimeout = 5 * time.Second
)

// finish waits for the claim rows that are still being written after the calls have ended, but at
// most claimsTimeout. It then announces to some other members that this instance has left.
func (i *Instance) finish(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		i.claims.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(claimsTimeout):
	}
	bounded, cancel := context.WithTimeout(ctx, goneTimeout)
	defer cancel()
	i.members.AnnounceLeft(bounded)
}

// leaseMembers returns the functions of the membership that the lease holder uses.
func (i *Instance) leaseMembers() snipelease.Members {
	return snipelease.Members{
		All:      func() ([]snipemember.Member, bool) { return i.members.Members(), i.members.Joined() },
		Announce: i.members.Announce, Digests: i.members.Digests, LastContact: i.members.LastContact,
		Peers: i.randomPeers, HTTP: i.members.HTTP,
	}
}
