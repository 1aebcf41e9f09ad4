package snipetree

import "context"

// WriteUnchecked makes an edit without checking the document, as a later version of the
// program with other checks may do.
func (s *Store) WriteUnchecked(ctx context.Context, team string, expect uint64, data []byte) error {
	compressed, hash, err := compress(data)
	if err != nil {
		return err
	}
	h, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if err := s.writeDocument(ctx, hash, compressed); err != nil {
		return err
	}
	_, err = s.commit(ctx, h, branchName(team), branchRef{Version: expect + 1, Hash: hash, Parts: partCount(compressed)})
	return err
}
