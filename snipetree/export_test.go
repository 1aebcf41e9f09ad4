package snipetree

import "context"

// WriteUnchecked makes an edit without the checks, as a later program with
// other checks may do.
func (s *Store) WriteUnchecked(ctx context.Context, team string, expect uint64, data []byte) error {
	packed, hash, err := pack(data)
	if err != nil {
		return err
	}
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if err := s.writeDocument(ctx, hash, packed); err != nil {
		return err
	}
	_, err = s.commit(ctx, h, branchSort(team), branchRef{Version: expect + 1, Hash: hash, Parts: parts(packed)})
	return err
}
