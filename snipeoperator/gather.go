package snipeoperator

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"snipepitch.example/snipepitch/snipeproto"
)

const (
	// gatherAtOnce bounds the peers that are asked at once.
	gatherAtOnce = 16
	// peerTimeout bounds the question to one peer, gatherTimeout all of them.
	peerTimeout   = time.Second
	gatherTimeout = 10 * time.Second
)

// gathered is what the instances have told.
type gathered struct {
	answers map[string]*snipeproto.DescribeResponse
	silent  []string
}

// peer returns the client of one peer. TLS, where there is any, is the dial's.
func (s *Server) peer(address netip.AddrPort) snipeproto.Status {
	return snipeproto.NewStatusProtobufClient("http://"+address.String(), s.Peers)
}

// gather asks the named instances, or all live ones when names is nil.
func (s *Server) gather(ctx context.Context, names map[string]bool) gathered {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	g := gathered{answers: map[string]*snipeproto.DescribeResponse{}}
	var lock sync.Mutex // guards g
	var all sync.WaitGroup
	places := make(chan struct{}, gatherAtOnce)
	for name, i := range s.View().Instances {
		if names != nil && !names[name] {
			continue
		}
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			answer, err := s.describe(ctx, name, i.PeerAddress)
			lock.Lock()
			defer lock.Unlock()
			if err != nil {
				g.silent = append(g.silent, name)
				return
			}
			g.answers[name] = answer
		})
	}
	all.Wait()
	slices.Sort(g.silent)
	return g
}

func (s *Server) describe(ctx context.Context, name string, address netip.AddrPort) (*snipeproto.DescribeResponse, error) {
	if name == s.Own.Name {
		return s.Own.Describe(ctx, nil)
	}
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.peer(address).Describe(bounded, &snipeproto.DescribeRequest{})
}

// gatherOwners asks all instances that own an engine, and returns what they
// tell of each engine.
func (s *Server) gatherOwners(ctx context.Context) (map[string]*snipeproto.OwnedEngine, []string) {
	owners := map[string]bool{}
	for _, o := range s.View().Owners {
		owners[o.Instance.Name] = true
	}
	g := s.gather(ctx, owners)
	engines := map[string]*snipeproto.OwnedEngine{}
	for _, a := range g.answers {
		for _, e := range a.GetEngines() {
			engines[e.GetName()] = e
		}
	}
	return engines, g.silent
}
