package snipestand

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// generation is one answer while it is produced and kept for resuming.
type generation struct {
	id, alias, path string
	chat, usage     bool
	tokens          []string
	cancel          context.CancelFunc

	lock     sync.Mutex // guards the fields below
	running  bool
	produced int
	canceled bool
	changed  chan struct{}
}

// produce makes the tokens of one answer in a place of the batch.
func (e *Engine) produce(ctx context.Context, g *generation) {
	select {
	case e.batch <- struct{}{}:
	case <-ctx.Done():
		g.advance(true)
		return
	}
	defer func() { <-e.batch }()
	g.run()
	t := time.NewTicker(max(e.TokenTime, time.Microsecond))
	defer t.Stop()
	for range g.tokens {
		select {
		case <-ctx.Done():
			g.advance(true)
			return
		case <-t.C:
		}
		if !e.has(g.alias) {
			// Evicted under a call: the answer goes on as garbage, which the
			// replay finds.
			g.corrupt()
		}
		g.advance(false)
	}
	time.AfterFunc(keepAnswers, func() {
		e.lock.Lock()
		defer e.lock.Unlock()
		delete(e.answers, g.id)
	})
}

// keepAnswers is how long a finished answer can be resumed.
const keepAnswers = 30 * time.Second

func (e *Engine) has(alias string) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	_, ok := e.loaded[alias]
	return ok
}

func (g *generation) corrupt() {
	g.lock.Lock()
	defer g.lock.Unlock()
	for n := g.produced; n < len(g.tokens); n++ {
		g.tokens[n] = " EVICTED"
	}
}

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

// state returns how many tokens there are and what to wait for.
func (g *generation) state() (int, bool, <-chan struct{}) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.produced, g.canceled, g.changed
}

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
