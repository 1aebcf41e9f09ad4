package snipelink

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

// TestEndedBySilence guards against a timeout of the kernel that is taken for an end that the upstream knows of.
func TestEndedBySilence(t *testing.T) {
	read := func(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }
	tests := map[string]struct {
		err  error
		want bool
	}{
		"Timeout":     {read(syscall.ETIMEDOUT), true},
		"Unreachable": {read(syscall.EHOSTUNREACH), true},
		"NoNetwork":   {read(syscall.ENETUNREACH), true},
		"Reset":       {read(syscall.ECONNRESET), false},
		"End":         {io.EOF, false},
		"Torn":        {io.ErrUnexpectedEOF, false},
		"None":        {nil, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tt.want, endedBySilence(tt.err))
			if tt.err != nil {
				must.Eq(t, tt.want, errors.Is(&headError{tt.err}, ErrSilent))
			}
		})
	}
}
