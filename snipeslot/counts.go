package snipeslot

// Resize changes the number of slots. What is above a lower number leaves with
// the next evictions.
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

// Idle reports that no use and no load is under way.
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

// Orders returns the number of loads in progress. Evictions do not count: a
// successor need not wait for them.
func (s *Slots) Orders() int {
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
