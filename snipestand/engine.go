package snipestand

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine emulates a model engine. It has adapter slots, accepts orders to load and unload adapters,
// and produces answers in batches, as streams that can be resumed and canceled. Exported fields
// must be set before the first request.
type Engine struct {
	// Slots is the number of adapters that the engine holds at once, Batch the number of answers
	// that it produces at once.
	Slots, Batch int
	// TokenTime is the time between two tokens of an answer.
	TokenTime time.Duration
	// ChecksFence makes the engine refuse orders whose fencing number is lower than an earlier one.
	ChecksFence bool
	// Weights is the address of the weight store that the engine loads from; invalid for none.
	Weights netip.AddrPort
	// Crash is called to end the process when a prompt contains CrashPrompt; nil for no crash.
	Crash func()
	// Executed records each call that the engine has begun to execute.
	Executed Executed

	lock    sync.Mutex        // guards the fields below
	fence   uint64            // highest fencing number received
	loaded  map[string]string // path by alias
	answers map[string]*generation
	created int           // answers so far, for their identifiers
	batch   chan struct{} // one element for each answer in production
	fault   EngineFault
	started time.Time
}

// CrashPrompt is the text in a prompt that crashes the engine.
const CrashPrompt = "CRASH-THE-ENGINE"

// EngineFault holds the faults of an engine.
type EngineFault struct {
	// SilentAfter is the number of chunks after which each connection stops sending while it stays
	// open; 0 is never. A resumed connection is not affected.
	SilentAfter int
	// BreakAfter is the number of chunks after which each connection is closed; 0 is never. A
	// resumed connection is not affected.
	BreakAfter int
	// FailLoads is the number of loads, counted from the next one, that fail.
	FailLoads int
}

// defaultTokens is the length of an answer when the request does not state one.
const defaultTokens = 16

// Handler returns the engine's routes. It must be called once: it starts the engine without
// adapters and answers.
func (e *Engine) Handler() http.Handler {
	e.started = time.Now()
	e.loaded = map[string]string{}
	e.answers = map[string]*generation{}
	e.batch = make(chan struct{}, e.Batch)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/load_lora_adapter", e.load)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	mux.HandleFunc("POST /v1/completions", e.generate)
	mux.HandleFunc("POST /v1/chat/completions", e.generate)
	mux.HandleFunc("GET /v1/responses/{id}", e.resume)
	mux.HandleFunc("POST /v1/responses/{id}/cancel", e.cancelAnswer)
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("GET /metrics", e.metrics)
	mux.Handle("GET /Executed", &e.Executed)
	mux.HandleFunc("POST /Fault", func(w http.ResponseWriter, r *http.Request) {
		var f EngineFault
		if readJSON(w, r, &f) {
			e.SetFault(f)
		}
	})
	return mux
}

// SetFault replaces the faults in force.
func (e *Engine) SetFault(f EngineFault) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.fault = f
}

// orderBody is the body of an order to load or unload an adapter.
type orderBody struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// recordFence records the fencing number of an order if it is the highest received. It reports
// whether the engine must refuse the order: the number is lower than an earlier one, and
// ChecksFence is set. A missing or invalid number counts as 0.
func (e *Engine) recordFence(r *http.Request) bool {
	n, err := strconv.ParseUint(r.Header.Get("Fencing-Number"), 10, 64)
	if err != nil {
		n = 0
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if n < e.fence {
		return e.ChecksFence
	}
	e.fence = n
	return false
}

// readOrder reads an order. If the order is invalid or its fencing number is refused, it answers with an error and reports
// false.
func (e *Engine) readOrder(w http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	if !readJSON(w, r, &o) {
		return o, false
	}
	if e.recordFence(r) {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return o, false
	}
	return o, true
}

// load loads an adapter into a free slot. It answers 500 if the load fails, 400 if no slot is free.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	if e.takeLoadFault() {
		http.Error(w, "load failed", http.StatusInternalServerError)
		return
	}
	if err := e.fetchWeights(r.Context(), o.Path); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if len(e.loaded) >= e.Slots {
		http.Error(w, "no free slot", http.StatusBadRequest)
		return
	}
	e.loaded[o.Name] = o.Path
}

// takeLoadFault reports whether the current load must fail, and counts it against FailLoads.
func (e *Engine) takeLoadFault() bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.fault.FailLoads == 0 {
		return false
	}
	e.fault.FailLoads--
	return true
}

// fetchWeights fetches and discards the weights of an adapter from the weight store. It does nothing
// if the engine has no weight store.
func (e *Engine) fetchWeights(ctx context.Context, path string) error {
	if !e.Weights.IsValid() {
		return nil
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Weights.String()+"/weights/"+path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	o, ok := e.readOrder(w, r)
	if !ok {
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	delete(e.loaded, o.Name)
}

// models lists the aliases of the loaded adapters.
func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID string `json:"id"`
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	list := make([]model, 0, len(e.loaded))
	for alias := range e.loaded {
		list = append(list, model{alias})
	}
	writeJSON(w, map[string]any{"object": "list", "data": list})
}

// callBody is the part of a completion request that the engine evaluates.
type callBody struct {
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Options   struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Answer returns the tokens of an engine's answer: the path of the adapter that produces them, then
// tokens that depend on the path and the prompt. A count of zero or less stands for the default
// length. The replay computes the same tokens to verify an answer.
func Answer(path, prompt string, count int) []string {
	if count <= 0 {
		count = defaultTokens
	}
	tokens := []string{path}
	for n := 1; n < count; n++ {
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, path, "\x00", prompt, "\x00", n)
		tokens = append(tokens, fmt.Sprintf(" %08x", h.Sum32()))
	}
	return tokens
}

// generate starts an answer and streams it. The production goes on if the caller disconnects, so
// that the answer can be resumed.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var c callBody
	if !readJSON(w, r, &c) {
		return
	}
	prompt := c.Prompt
	if len(c.Messages) > 0 {
		prompt = string(c.Messages)
	}
	if strings.Contains(prompt, CrashPrompt) && e.Crash != nil {
		// The process ends here, whether or not the execution could be recorded.
		_ = e.Executed.Add(Execution{Request: r.Header.Get("X-Request-Id"), Body: prompt})
		e.Crash()
	}
	e.lock.Lock()
	path, ok := e.loaded[c.Model]
	if !ok {
		e.lock.Unlock()
		http.Error(w, "model not found", http.StatusNotFound)
		return
	}
	if err := e.Executed.Add(Execution{Request: r.Header.Get("X-Request-Id")}); err != nil {
		e.lock.Unlock()
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.created++
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{
		id: "cmpl-" + strconv.Itoa(e.created), alias: c.Model, path: path, chat: len(c.Messages) > 0,
		tokens: Answer(path, prompt, c.MaxTokens), usage: c.Options.Usage, cancel: cancel, changed: make(chan struct{}),
	}
	e.answers[g.id] = g
	fault := e.fault
	e.lock.Unlock()
	go e.produce(ctx, g)
	e.send(w, r, g, 0, fault)
}

// resume streams an answer again from the chunk after the one that the request names.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.lock.Lock()
	g, ok := e.answers[r.PathValue("id")]
	e.lock.Unlock()
	after, err := strconv.Atoi(r.URL.Query().Get("starting_after"))
	if !ok || err != nil {
		http.Error(w, "no such response", http.StatusNotFound)
		return
	}
	e.send(w, r, g, after, EngineFault{})
}

// send streams the chunks of an answer, starting after the first sent ones, until the answer is
// complete or canceled, the caller disconnects, or the fault interrupts the answer.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, g *generation, sent int, fault EngineFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	// The header is sent before the call gets a slot of the batch.
	_ = flush.Flush()
	for sent < len(g.tokens) {
		if fault.BreakAfter > 0 && sent >= fault.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		if fault.SilentAfter > 0 && sent >= fault.SilentAfter {
			<-r.Context().Done()
			return
		}
		produced, canceled, changed := g.state()
		if sent < produced {
			sent++
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sent, g.chunk(sent-1))
			_ = flush.Flush()
			continue
		}
		if canceled {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
	if g.usage && sent == len(g.tokens) {
		sent++
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"model\":%q,\"choices\":[],\"usage\":{\"completion_tokens\":%d}}\n\n",
			sent, g.id, g.alias, len(g.tokens))
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", sent+1)
	_ = flush.Flush()
}

// cancelAnswer stops the production of an answer and removes it.
func (e *Engine) cancelAnswer(w http.ResponseWriter, r *http.Request) {
	e.lock.Lock()
	g, ok := e.answers[r.PathValue("id")]
	delete(e.answers, r.PathValue("id"))
	e.lock.Unlock()
	if !ok {
		http.Error(w, "no such response", http.StatusNotFound)
		return
	}
	g.cancel()
}
