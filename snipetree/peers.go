package snipetree

import (
	"context"
	"net/http"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
)

// Bounds of an answer to a peer.
const (
	maxAnswer = 2 << 20
	maxHashes = 256
)

// PathPrefix is where the peers' handler is mounted.
const PathPrefix = snipeproto.SettingsPathPrefix

// Handler returns the handler of peers' requests; the caller checks the secret.
func (s *Store) Handler() http.Handler { return snipeproto.NewSettingsServer(&server{store: s}) }

// server serves peers.
type server struct{ store *Store }

// GetHead implements snipeproto.Settings.
func (v *server) GetHead(_ context.Context, in *snipeproto.GetHeadRequest) (*snipeproto.GetHeadResponse, error) {
	if v.store.Current() == nil {
		return nil, twirp.Unavailable.Error("no settings yet")
	}
	revision, data, err := v.store.encodedHead()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	out := &snipeproto.GetHeadResponse{Revision: revision}
	if revision > in.GetRevision() || in.GetRevision() == 0 {
		out.Head = data
	}
	return out, nil
}

// GetDocuments implements snipeproto.Settings.
func (v *server) GetDocuments(
	_ context.Context, in *snipeproto.GetDocumentsRequest,
) (*snipeproto.GetDocumentsResponse, error) {
	if len(in.GetHashes()) > maxHashes {
		return nil, twirp.InvalidArgument.Error("too many hashes")
	}
	s := v.store
	s.lock.Lock()
	defer s.lock.Unlock()
	out := &snipeproto.GetDocumentsResponse{}
	size := 0
	for _, h := range in.GetHashes() {
		d, ok := s.docs[h]
		if !ok || size > 0 && size+len(d.packed) > maxAnswer {
			continue
		}
		size += len(d.packed)
		out.Documents = append(out.Documents, &snipeproto.SettingsDocument{Hash: h, Data: d.packed})
	}
	return out, nil
}

// refreshFromPeers takes the highest revision of some peers and reports
// whether at least one answered and what it has is in force here.
func (s *Store) refreshFromPeers(ctx context.Context) bool {
	if s.Peers == nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, 2*requestTime)
	defer cancel()
	answered := false
	for _, address := range s.Peers(askedPeers) {
		client := snipeproto.NewSettingsProtobufClient("http://"+address.String(), s.HTTP)
		out, err := client.GetHead(bounded, &snipeproto.GetHeadRequest{Revision: s.revision()})
		if err != nil {
			continue
		}
		if s.Current() == nil || out.GetRevision() > s.revision() {
			if err := s.takeFromPeer(bounded, client, address, out.GetHead()); err != nil {
				continue
			}
		}
		answered = true
	}
	return answered && s.Current() != nil
}

// takeFromPeer puts a peer's head in force. It asks for all documents that
// are missing at once, and for each one that did not fit by itself.
func (s *Store) takeFromPeer(ctx context.Context, client snipeproto.Settings, address netip.AddrPort, data []byte) error {
	h, err := decodeHead(data)
	if err != nil {
		return errors.Wrapf(err, "peer %s", address)
	}
	_, missing := s.known(h)
	got := map[string][]byte{}
	var hashes []string
	for _, ref := range missing {
		hashes = append(hashes, ref.Hash)
	}
	for len(hashes) > 0 {
		batch := hashes[:min(len(hashes), maxHashes)]
		hashes = hashes[len(batch):]
		if err := fetch(ctx, client, batch, got); err != nil {
			return errors.Wrapf(err, "peer %s", address)
		}
	}
	return s.take(ctx, h, func(ctx context.Context, name string, ref branchRef) (*document, error) {
		packed, ok := got[ref.Hash]
		if !ok {
			one := map[string][]byte{}
			if err := fetch(ctx, client, []string{ref.Hash}, one); err != nil {
				return nil, err
			}
			packed = one[ref.Hash]
		}
		if hashOf(packed) != ref.Hash {
			return nil, errors.Wrapf(snipeplatform.ErrUnavailable, "peer %s: branch %s", address, name)
		}
		return newDocument(name, packed), nil
	})
}

func fetch(ctx context.Context, client snipeproto.Settings, hashes []string, into map[string][]byte) error {
	out, err := client.GetDocuments(ctx, &snipeproto.GetDocumentsRequest{Hashes: hashes})
	if err != nil {
		return errors.Wrap(err, "get documents")
	}
	for _, d := range out.GetDocuments() {
		into[d.GetHash()] = d.GetData()
	}
	return nil
}

func branchSort(team string) string {
	if team == "" {
		return platformSort
	}
	return teamPrefix + team
}

func teamOf(name string) string { return strings.TrimPrefix(name, teamPrefix) }
