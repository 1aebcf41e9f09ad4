package snipeslot

// Resize changes the number of slots. If more slots than the new number are in
// use, the next loads evict the excess.
func (s *Slots) Resize(capacity int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.setup()
	if s.Capacity == capacity {
		return
	}
	s.Capacity = capacity
	s.wake()
}

// Idle reports whether no use is in flight and no load order is in progress.
func (s *Slots) Idle() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, e := range s.slots {
		if e.inFlight > 0 || e.state == loading {
			return false
		}
	}
	return true
}

// LoadsInProgress returns the number of load orders in progress. It counts neither
// loads that wait for permission or a slot, for which no order was sent, nor
// evictions, for which the next owner does not have to wait.
func (s *Slots) LoadsInProgress() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	n := 0
	for _, e := range s.slots {
		if e.state == loading {
			n++
		}
	}
	return n
}
