package snipegateway

import (
	"bytes"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"github.com/shoenig/test/must"

	"snipepitch.example/snipepitch/snipepressure"
)

// startReadAhead reads an answer ahead whose instance holds the given number of other bytes out of a
// thousand blocks.
func startReadAhead(t *testing.T, answer io.Reader, otherBlocks int64) (*readAhead, *snipepressure.Budget) {
	b := &snipepressure.Budget{Bound: 1000 * blockSize}
	var other, account snipepressure.Account
	must.NoError(t, b.Open(&other, "other", 0))
	must.True(t, other.Grow(otherBlocks*blockSize))
	must.NoError(t, b.Open(&account, "own", 0))
	t.Cleanup(account.Close)
	r := newReadAhead(answer, &account, b.Bound)
	go r.run()
	return r, b
}

// TestReadAheadUnderPressure guards against an answer that is no longer delivered to a caller that
// reads, because the instance holds so many bytes that nothing may be read ahead.
func TestReadAheadUnderPressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := strings.Repeat("0123456789", 5*blockSize/10)
		r, b := startReadAhead(t, strings.NewReader(want), 800)
		var got bytes.Buffer
		finished := make(chan error, 1)
		go func() {
			_, err := io.Copy(&got, struct{ io.Reader }{r})
			finished <- err
		}()
		time.Sleep(time.Second)
		select {
		case err := <-finished:
			must.NoError(t, err)
			must.Eq(t, want, got.String())
		default:
			t.Error("the answer is not delivered")
		}
		r.stop()
		must.Eq(t, 800*blockSize, b.Held())
		synctest.Wait()
	})
}

// TestReadAheadReleases guards against blocks that the caller has taken but that remain in memory, and
// against blocks that count after the end of the delivery.
func TestReadAheadReleases(t *testing.T) {
	r, b := startReadAhead(t, strings.NewReader(strings.Repeat("x", 9*blockSize-1)), 0)
	<-r.done
	var taken []weak.Pointer[byte]
	for _, block := range r.blocks[:5] {
		taken = append(taken, weak.Make(&block[0]))
	}
	_, err := io.ReadFull(r, make([]byte, 5*blockSize))
	must.NoError(t, err)
	runtime.GC()
	for _, p := range taken {
		must.Nil(t, p.Value())
	}
	must.Eq(t, 4*blockSize, b.Held())
	r.stop()
	must.Eq(t, 0, b.Held())
	runtime.KeepAlive(r)
}

// TestLateTimer guards against ending the answer of a caller that reads when the timer of its write runs
// late, because the process was stopped for longer than a caller may read nothing, and against a write
// that counts as blocked because of the late timer of the write before it.
func TestLateTimer(t *testing.T) {
	for name, age := range map[string]time.Duration{"Stopped": 20 * time.Second, "NextWrite": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &snipepressure.Budget{Bound: 1000, MaxUnread: 10 * time.Second}
				c := &call{}
				ended := false
				c.pressure.End = func(snipepressure.Decision) { ended = true }
				must.NoError(t, b.Open(&c.pressure.Account, "own", 0))
				d := &delivery{call: c, writing: true, began: time.Now().Add(-age)}
				d.writeBlocked()
				b.Sweep()
				must.False(t, ended)
				must.Eq(t, age >= blockedAfter, d.blocked)
			})
		})
	}
}
