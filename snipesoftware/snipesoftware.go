// Package snipesoftware deals with the versions of the software that upstreams run. Upstreams of
// several versions may serve one service side by side, and a stream may go on only at the version
// that began it.
//
// Design. Releases tells, from rows that all instances read, at which versions the streams of a
// service may begin, and while there is only one, at which one all of them began. Origins holds at
// which version single streams began, and an Exchange tells that to two other instances while a
// service has several versions, and asks others when a stream is taken up.
//
// Invariants:
//
//   - A stream begins only at a version that was announced, and no sooner than instances that rely on
//     a sole version have had the time to read the announcement, or to stop relying on it.
//   - A version that is not known is never assumed: each way in which knowledge is lost (a bound, a
//     lost message, an instance that ended) makes an origin unknown.
package snipesoftware

import "time"

// Version is the version of the software that an upstream runs, as the upstream states it. It is
// opaque: versions are compared for equality only. It has nothing to do with the versions of
// adapters.
type Version string

const (
	// freshness is how long after the rows were confirmed an instance relies on a sole version. Copies
	// of the rows get up to two seconds old without any failure.
	freshness = 3 * time.Second
	// readLag is by how much a read of the store may lack the newest rows: a feed whose history is
	// dropped reports nothing for a second.
	readLag = time.Second
	// useDelay is how long an instance waits before it uses a version that was announced after
	// another one. By then no instance relies on a sole version that does not know of it.
	useDelay = freshness + readLag
	// tellAge is the age of the rows from which on the origins of streams are told to other
	// instances, before these stop relying on a sole version.
	tellAge = 2500 * time.Millisecond
	// releaseRetention is how long a version stays announced after the last upstream of it is gone:
	// longer than any stream, with all attempts of its caller.
	releaseRetention = 10 * time.Minute
	// originRetention is how long the origin of a stream is kept after it was last told. While the
	// stream runs, it is told again every retellTime.
	originRetention = 2 * time.Minute
	retellTime      = originRetention / 2
)
