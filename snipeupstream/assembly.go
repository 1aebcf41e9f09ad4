package snipeupstream

import (
	"bytes"
	"encoding/json"
	"maps"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipeerror"
)

// MaxAnswer bounds the bytes of the chunks that one whole answer is made from.
const MaxAnswer = 16 << 20

// document is a JSON object whose fields this package does not all know.
type document = map[string]any

// assembly collects the chunks of a stream into one whole answer. It knows the
// shape of chunks (a delta grows a message, lists grow, entries with an index
// meet their kind), not the single fields, so that tool calls, log
// probabilities and fields of later engines are kept.
type assembly struct {
	chat   bool
	size   int
	top    document
	choice document
}

// add merges one chunk, which is valid JSON.
func (s *assembly) add(chunk []byte) error {
	if s.size += len(chunk); s.size > MaxAnswer {
		return snipeerror.New(snipeerror.ErrTooLarge, snipeerror.MayHaveRun, "answer of the engine")
	}
	var top document
	d := json.NewDecoder(bytes.NewReader(chunk))
	d.UseNumber()
	if err := d.Decode(&top); err != nil {
		return errors.Wrapf(errBroken, "chunk: %v", err)
	}
	if choices, ok := top["choices"].([]any); ok && len(choices) > 0 {
		choice, ok := choices[0].(document)
		if !ok || len(choices) > 1 {
			return errors.Wrap(errBroken, "chunk with other than one choice")
		}
		s.addChoice(choice)
	}
	delete(top, "choices")
	if s.top == nil {
		s.top = document{}
	}
	for name, v := range top {
		if v != nil {
			s.top[name] = v
		}
	}
	return nil
}

func (s *assembly) addChoice(choice document) {
	if s.choice == nil {
		s.choice = document{}
	}
	delta, chat := choice["delta"].(document)
	delete(choice, "delta")
	s.choice = merge(s.choice, choice)
	if !chat {
		return
	}
	message, ok := s.choice["message"].(document)
	if !ok {
		message = document{}
	}
	s.choice["message"] = merge(message, delta)
}

// kept are the strings that a later chunk repeats or replaces; all others grow.
var kept = map[string]bool{
	"role": true, "id": true, "type": true, "name": true,
	"finish_reason": true, "stop_reason": true, "index": true,
}

// merge adds the fields of from to into and returns into.
func merge(into, from document) document {
	for name, v := range from {
		into[name] = mergeValue(name, into[name], v)
	}
	return into
}

func mergeValue(name string, old, v any) any {
	if v == nil {
		return old
	}
	switch v := v.(type) {
	case string:
		before, ok := old.(string)
		switch {
		case !ok:
			return v
		case !kept[name]:
			return before + v
		case v == "":
			return before
		}
		return v
	case document:
		if before, ok := old.(document); ok {
			return merge(before, v)
		}
		return merge(document{}, v)
	case []any:
		before, _ := old.([]any)
		return mergeList(before, v)
	}
	return v
}

// mergeList appends, but merges an entry that has an index with the entry of
// the same index.
func mergeList(before, more []any) []any {
	for _, v := range more {
		entry, ok := v.(document)
		index, numbered := entry["index"].(json.Number)
		if ok && numbered {
			if known := findIndex(before, index); known != nil {
				merge(known, entry)
				continue
			}
			v = maps.Clone(entry)
		}
		before = append(before, v)
	}
	return before
}

func findIndex(list []any, index json.Number) document {
	for _, v := range list {
		if entry, ok := v.(document); ok && entry["index"] == any(index) {
			return entry
		}
	}
	return nil
}

// whole returns the answer as the engine would have sent it without streaming.
func (s *assembly) whole(model string) ([]byte, error) {
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
	}
	if message, ok := s.choice["message"].(document); ok {
		finishMessage(message)
	}
	s.choice["index"] = 0
	s.top["object"], s.top["model"], s.top["choices"] = object, model, []any{s.choice}
	body, err := json.Marshal(s.top)
	if err != nil {
		return nil, errors.Wrap(err, "encode whole answer")
	}
	return body, nil
}

// finishMessage drops what only chunks have, and sets what every message has.
func finishMessage(message document) {
	if _, ok := message["role"]; !ok {
		message["role"] = "assistant"
	}
	if _, ok := message["content"]; !ok {
		message["content"] = nil
	}
	calls, _ := message["tool_calls"].([]any)
	for _, c := range calls {
		if call, ok := c.(document); ok {
			delete(call, "index")
		}
	}
}
