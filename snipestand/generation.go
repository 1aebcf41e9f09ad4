package snipestand

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// generation is one answer, from its start until it can no longer be resumed.
type generation struct {
	id, alias, path string
	chat, usage     bool
	tokens          []string
	cancel          context.CancelFunc

	lock     sync.Mutex // guards the fields below
	running  bool
	produced int // tokens produced so far
	canceled bool
	changed  chan struct{} // closed and replaced at each change
}

// produce waits for a slot of the batch and produces the tokens of one answer.
func (e *Engine) produce(ctx context.Context, g *generation) {
	select {
	case e.batch <- struct{}{}:
	case <-ctx.Done():
		g.advance(true)
		return
	}
	defer func() { <-e.batch }()
	g.markRunning()
	t := time.NewTicker(max(e.TokenTime, time.Microsecond))
	defer t.Stop()
	for range g.tokens {
		select {
		case <-ctx.Done():
			g.advance(true)
			return
		case <-t.C:
		}
		if !e.holds(g.alias) {
			// The adapter was evicted during the call. The rest of the answer is invalid, which the
			// replay detects.
			g.corrupt()
		}
		g.advance(false)
	}
	time.AfterFunc(answerRetention, func() {
		e.lock.Lock()
		defer e.lock.Unlock()
		delete(e.answers, g.id)
	})
}

// answerRetention is how long a finished answer can be resumed.
const answerRetention = 30 * time.Second

// holds reports whether an adapter is loaded.
func (e *Engine) holds(alias string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	_, ok := e.loaded[alias]
	return ok
}

// corrupt replaces the tokens that are not yet produced.
func (g *generation) corrupt() {
	g.lock.Lock()
	defer g.lock.Unlock()
	for n := g.produced; n < len(g.tokens); n++ {
		g.tokens[n] = " EVICTED"
	}
}

// advance counts one more token, or marks the answer as canceled, and wakes all readers.
func (g *generation) advance(canceled bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if canceled {
		g.canceled = true
	} else {
		g.produced++
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// state returns the number of tokens produced, whether the answer was canceled, and a channel that
// is closed at the next change.
func (g *generation) state() (int, bool, <-chan struct{}) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.produced, g.canceled, g.changed
}

// chunk returns the n-th chunk of the stream as JSON.
func (g *generation) chunk(n int) []byte {
	g.lock.Lock()
	token := g.tokens[n]
	g.lock.Unlock()
	var reason any
	if n == len(g.tokens)-1 {
		reason = "stop"
	}
	choice := map[string]any{"index": 0, "finish_reason": reason}
	object := "text_completion"
	if g.chat {
		object = "chat.completion.chunk"
		choice["delta"] = map[string]string{"content": token}
	} else {
		choice["text"] = token
	}
	data, _ := json.Marshal(map[string]any{
		"id": g.id, "object": object, "model": g.alias, "choices": []any{choice},
	})
	return data
}
