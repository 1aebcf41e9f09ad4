package snipelink

// mayBeCopy reports whether the last answer of a connection may be a copy of an earlier one. The first answer is none.
func (p *Pool) mayBeCopy(c *connection) bool { return p.Identifier == nil && c.requests > 1 }

// CheckSurplus returns ErrSurplus if bytes follow the answer, whose body was read to its end, and it may be a copy of an
// earlier one. If they arrive later, Send returns the error for the next request.
func (a *Answer) CheckSurplus() error {
	c := a.connection
	if a.pool.mayBeCopy(c) && (c.reader.Buffered() > 0 || stateOf(c.conn) == connSurplus) {
		return ErrSurplus
	}
	return nil
}

// surplusError is the error of Send for a connection whose last answer may belong to an earlier request.
type surplusError struct{}

// Error implements error.
func (*surplusError) Error() string { return ErrSurplus.Error() + ": " + ErrNotSent.Error() }

// Unwrap returns the errors that it is.
func (*surplusError) Unwrap() []error { return []error{ErrNotSent, ErrSurplus} }
