package snipeentry

import (
	"context"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"snipepitch.example/snipepitch/snipelog"
	"snipepitch.example/snipepitch/snipeplatform"
	"snipepitch.example/snipepitch/snipeproto"
	"snipepitch.example/snipepitch/snipesoftware"
)

// streamsTable is the table with a row for each start of an instance: the origins of its streams, encoded as they are told to
// other instances.
const streamsTable = "streams"

// buildStoredStreams creates what keeps the origins of streams in the store.
func (i *Instance) buildStoredStreams() {
	i.storedStreams = &snipesoftware.Stored{
		Member: memberID(i.Settings.Peers, i.Incarnation), Exchange: i.streams,
		Read: i.readStoredStreams, Write: i.writeStoredStreams, Live: i.liveMembers, Leads: i.leads,
	}
	i.streams.Stored, i.streams.Begun = i.storedStreams.Find, i.storedStreams.Wake
}

// readStoredStreams reads all rows. One that cannot be decoded has no origins.
func (i *Instance) readStoredStreams(ctx context.Context) ([]snipesoftware.StoredRow, error) {
	page, err := i.source(streamsTable).Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read streams")
	}
	all := make([]snipesoftware.StoredRow, 0, len(page.Rows))
	for _, r := range page.Rows {
		row := snipesoftware.StoredRow{Member: r.Key, Position: r.Version}
		if row.Origins, err = decodeStoredStreams(r.Value); err != nil {
			i.Log.Error(snipelog.OwnershipRowWrong, err, snipelog.Fields{"Row": streamsTable + "/" + r.Key})
		}
		all = append(all, row)
	}
	return all, nil
}

// decodeStoredStreams decodes the origins of a row. Without an error, all of them are valid.
func decodeStoredStreams(data []byte) ([]snipesoftware.Origin, error) {
	message := &snipeproto.StreamTellRequest{}
	if err := proto.Unmarshal(data, message); err != nil {
		return nil, errors.Wrap(err, "decode streams")
	}
	return decodeOrigins(message)
}

// writeStoredStreams writes or removes a row; see snipesoftware.Stored.
func (i *Instance) writeStoredStreams(ctx context.Context, member string, origins []snipesoftware.Origin, position uint64) (uint64, error) {
	change := snipeplatform.Change{
		Key: snipeplatform.Key{Partition: streamsTable, Sort: member}, Expect: position, Delete: len(origins) == 0,
	}
	if !change.Delete {
		data, err := proto.Marshal(encodeOrigins(origins))
		if err != nil {
			return 0, errors.Wrap(err, "encode streams")
		}
		change.Data = data
	}
	written, err := i.write(ctx, i.Operation(), []snipeplatform.Change{change})
	if errors.Is(err, snipeplatform.ErrConflict) {
		return 0, errors.Wrap(snipesoftware.ErrConflict, member)
	}
	return written, err
}

// liveMembers returns the identifiers of all live instances.
func (i *Instance) liveMembers() []string {
	ranked := i.holder.View().Ranked
	all := make([]string, 0, len(ranked))
	for _, v := range ranked {
		all = append(all, memberID(v.Peer, v.Incarnation))
	}
	return all
}

// leads reports whether this instance does what one instance does for all.
func (i *Instance) leads() bool {
	ranked := i.holder.View().Ranked
	return len(ranked) > 0 && ranked[0].Peer == i.Settings.Peers
}
