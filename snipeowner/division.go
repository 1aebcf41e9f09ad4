package snipeowner

import "time"

// A limit on all instances together can be divided among them without a message: each uses its equal
// part, by its own view of the others. The parts of all add up to the limit at most, in each span of
// Holder.DivisionSpan, if each instance that uses a part in that span is counted by all others that do.
// Three rules bring this about:
//
//   - An instance uses its part only from DivisionSpan and maxDivisionAge after its first renewal was
//     answered. Until then, each other instance that uses a part has read its row, and neither a
//     previous start of it nor a part that was computed without it counts in the same span any more.
//   - It uses the part only while the rows that it has read are at most maxDivisionAge old, and while
//     its last successful renewal is not older than its presence time.
//   - It counts each instance for the presence time, DivisionSpan and maxDivisionAge after the last
//     change of that instance's row. After a longer pause in its renewals an instance begins anew.
//
// Counting too many instances is harmless: the parts are then smaller than they could be.
const (
	// maxDivisionAge is the greatest age of the rows by which a limit is divided. Rows are usually up to
	// maxRowAge old when they are read, and the next step reads them a second later.
	maxDivisionAge = 6 * time.Second
	// maxReadTime is by how much rows may be older than their stated age: the time that a read of the
	// store, and one of another instance's copy, may take.
	maxReadTime = 1500 * time.Millisecond
	// activePresence and standbyPresence are the presence times of instances that renew their rows in
	// each step, and of those on standby: how long after its last renewal an instance may use its part.
	activePresence  = 10 * time.Second
	standbyPresence = 2 * standbyInterval
)

// Division is how an instance takes part in limits on all instances together. All times are those of
// Holder.Clock.
type Division struct {
	// Instances is the number of parts; zero before the rows were read.
	Instances int
	// From and Until bound the time in which this instance may use its part.
	From, Until time.Duration
}

// InForce reports whether the instance may use its part of a limit at a time.
func (d Division) InForce(now time.Duration) bool {
	return d.Instances > 0 && d.From > 0 && now >= d.From && now < d.Until
}

// presence is what the division of limits depends on, beside the rows. It is used only by the goroutine
// of Run.
type presence struct {
	// rowsAsOf is as of when the rows were read.
	rowsAsOf time.Duration
	// from is Division.From; zero before the first successful renewal.
	from time.Duration
	// standby reports that the row of this instance states that it is on standby, in whatever version
	// the other instances may have read.
	standby bool
}

// presenceTime returns the presence time of an instance whose row states whether it is on standby.
func presenceTime(standby bool) time.Duration {
	if standby {
		return standbyPresence
	}
	return activePresence
}

// recordDivisionRead records that rows of the given age were read.
func (h *Holder) recordDivisionRead(now, age time.Duration) {
	h.presence.rowsAsOf = max(h.presence.rowsAsOf, now-age-maxReadTime)
}

// beginDivisionRenewal is called before each renewal. The write may take effect although it seems to
// fail.
func (h *Holder) beginDivisionRenewal(standby bool) {
	if !standby {
		h.presence.standby = false
	}
}

// recordDivisionRenewal records a successful renewal, sent at the given time. renewedAt is when the
// successful one before it was sent.
func (h *Holder) recordDivisionRenewal(renewedAt, sent time.Duration, standby bool) {
	if h.presence.from == 0 || sent-renewedAt > presenceTime(h.presence.standby) {
		h.presence.from = h.Clock() + margin + maxDivisionAge + h.DivisionSpan
	}
	h.presence.standby = standby
}

// division returns the Division for the rows as they are now.
func (h *Holder) division() Division {
	now := h.Clock()
	count := 0
	for peer, r := range h.instances {
		if peer == h.Self.Peer || now-r.observedAt < presenceTime(r.Standby)+margin+maxDivisionAge+h.DivisionSpan {
			count++
		}
	}
	return Division{
		Instances: count, From: h.presence.from,
		Until: min(h.presence.rowsAsOf+maxDivisionAge, h.renewedAt+presenceTime(h.presence.standby)),
	}
}
