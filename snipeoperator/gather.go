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
	// gatherConcurrency bounds the requests to peers that are in flight at once.
	gatherConcurrency = 16
	// peerTimeout bounds a request to one peer, gatherTimeout a whole gather.
	peerTimeout   = time.Second
	gatherTimeout = 10 * time.Second
)

// gathered holds the answers of instances by name, and the names of those that did not answer.
type gathered struct {
	answers map[string]*snipeproto.DescribeResponse
	silent  []string
}

// peer returns the client of one peer. The URL scheme is always http: the dial function of s.Peers
// adds TLS where it is configured.
func (s *Server) peer(address netip.AddrPort) snipeproto.Status {
	return snipeproto.NewStatusProtobufClient("http://"+address.String(), s.Peers)
}

// gather requests the status of the named instances in the view, or of all of them if names is nil.
// It returns after at most gatherTimeout; instances that have not answered by then count as silent.
func (s *Server) gather(ctx context.Context, names map[string]bool) gathered {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	g := gathered{answers: map[string]*snipeproto.DescribeResponse{}}
	var lock sync.Mutex // guards g
	var all sync.WaitGroup
	semaphore := make(chan struct{}, gatherConcurrency)
	for name, i := range s.View().Instances {
		if names != nil && !names[name] {
			continue
		}
		semaphore <- struct{}{}
		all.Go(func() {
			defer func() { <-semaphore }()
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

// describe returns the status of one instance; it calls this instance directly.
func (s *Server) describe(ctx context.Context, name string, address netip.AddrPort) (*snipeproto.DescribeResponse, error) {
	if name == s.Local.Name {
		return s.Local.Describe(ctx, nil)
	}
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.peer(address).Describe(bounded, &snipeproto.DescribeRequest{})
}

// gatherOwners requests the status of all instances that own an engine. It returns the state of
// each engine by name and the names of the instances that did not answer.
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
