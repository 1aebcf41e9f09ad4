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

// Limits of a request from a peer and of its answer: maxAnswer in bytes, maxHashes in documents.
const (
	maxAnswer = 2 << 20
	maxHashes = 256
)

// PathPrefix is the path prefix under which Handler is mounted.
const PathPrefix = snipeproto.SettingsPathPrefix

// Handler returns the handler of requests from peers. The caller of the handler must have
// checked the peer secret.
func (s *Store) Handler() http.Handler { return snipeproto.NewSettingsServer(&server{store: s}) }

// server implements snipeproto.Settings for peers.
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
		if !ok || size > 0 && size+len(d.compressed) > maxAnswer {
			continue
		}
		size += len(d.compressed)
		out.Documents = append(out.Documents, &snipeproto.SettingsDocument{Hash: h, Data: d.compressed})
	}
	return out, nil
}

// refreshFromPeers reads the heads of some peers, one after the other, and puts higher revisions in
// force. It reports whether at least one peer answered whose revision, or a higher one, is now in
// force here.
func (s *Store) refreshFromPeers(ctx context.Context) bool {
	if s.Peers == nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	answered := false
	for _, address := range s.Peers(peersPerRefresh) {
		client := snipeproto.NewSettingsProtobufClient("http://"+address.String(), s.HTTP)
		out, err := client.GetHead(bounded, &snipeproto.GetHeadRequest{Revision: s.revision()})
		if err != nil {
			continue
		}
		if s.Current() == nil || out.GetRevision() > s.revision() {
			if err := s.applyHeadFromPeer(bounded, client, address, out.GetHead()); err != nil {
				continue
			}
		}
		answered = true
	}
	return answered && s.Current() != nil
}

// applyHeadFromPeer puts a peer's head in force. It requests the missing documents in
// batches, and then each document that did not fit into an answer on its own.
func (s *Store) applyHeadFromPeer(ctx context.Context, client snipeproto.Settings, address netip.AddrPort, data []byte) error {
	h, err := decodeHead(data)
	if err != nil {
		return errors.Wrapf(err, "peer %s", address)
	}
	_, missing := s.cachedDocuments(h)
	fetched := map[string][]byte{}
	var hashes []string
	for _, ref := range missing {
		hashes = append(hashes, ref.Hash)
	}
	for len(hashes) > 0 {
		batch := hashes[:min(len(hashes), maxHashes)]
		hashes = hashes[len(batch):]
		if err := fetchDocuments(ctx, client, batch, fetched); err != nil {
			return errors.Wrapf(err, "peer %s", address)
		}
	}
	return s.applyHead(ctx, h, func(ctx context.Context, name string, ref branchRef) (*document, error) {
		compressed, ok := fetched[ref.Hash]
		if !ok {
			one := map[string][]byte{}
			if err := fetchDocuments(ctx, client, []string{ref.Hash}, one); err != nil {
				return nil, err
			}
			compressed = one[ref.Hash]
		}
		if hashOf(compressed) != ref.Hash {
			return nil, errors.Wrapf(snipeplatform.ErrUnavailable, "peer %s: document of branch %s does not match its hash", address, name)
		}
		return newDocument(name, compressed), nil
	})
}

// fetchDocuments requests documents and adds the compressed ones that the peer sent to into, by
// the hashes that the peer stated.
func fetchDocuments(ctx context.Context, client snipeproto.Settings, hashes []string, into map[string][]byte) error {
	out, err := client.GetDocuments(ctx, &snipeproto.GetDocumentsRequest{Hashes: hashes})
	if err != nil {
		return errors.Wrap(err, "get documents")
	}
	for _, d := range out.GetDocuments() {
		into[d.GetHash()] = d.GetData()
	}
	return nil
}

func branchName(team string) string {
	if team == "" {
		return platformBranchName
	}
	return teamPrefix + team
}

func teamOf(name string) string { return strings.TrimPrefix(name, teamPrefix) }
