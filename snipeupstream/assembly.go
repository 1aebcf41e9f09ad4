package snipeupstream

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"snipepitch.example/snipepitch/snipeerror"
)

// MaxAnswer bounds the bytes of the chunks that one whole answer is made from.
const MaxAnswer = 16 << 20

// document is a JSON object whose fields this package does not all know.
type document = map[string]any

// assembly collects the chunks of a stream into one whole answer. It knows the
// shape of chunks (a delta grows a message, lists grow, entries with an index
// meet their kind), not the single fields, so that tool calls, log
// probabilities and fields of later engines are kept. Text, which is all that
// most chunks bring, is collected without decoding the rest.
type assembly struct {
	chat bool
	size int
	// top are the latest fields beside the choices, as they came.
	top    map[string]json.RawMessage
	choice document
	text   strings.Builder
	texts  int // chunks that brought text
}

// add merges one chunk, which is valid JSON.
func (s *assembly) add(chunk []byte) error {
	if s.size += len(chunk); s.size > MaxAnswer {
		return snipeerror.New(snipeerror.ErrTooLarge, snipeerror.MayHaveRun, "answer of the engine")
	}
	if s.top == nil {
		s.top = map[string]json.RawMessage{}
		s.choice = document{}
	}
	var err error
	gjson.ParseBytes(chunk).ForEach(func(key, value gjson.Result) bool {
		name := key.String()
		switch {
		case name == "choices":
			err = s.addChoices(value)
		case value.Type != gjson.Null && string(s.top[name]) != value.Raw:
			s.top[strings.Clone(name)] = json.RawMessage(value.Raw)
		}
		return err == nil
	})
	return err
}

func (s *assembly) addChoices(choices gjson.Result) error {
	if !choices.IsArray() {
		return nil
	}
	all := choices.Array()
	if len(all) == 0 {
		return nil
	}
	if len(all) > 1 || !all[0].IsObject() {
		return errors.Wrap(errBroken, "chunk with other than one choice")
	}
	if !s.addText(all[0]) {
		return nil
	}
	var choice document
	d := json.NewDecoder(strings.NewReader(all[0].Raw))
	d.UseNumber()
	if err := d.Decode(&choice); err != nil {
		return errors.Wrapf(errBroken, "chunk: %v", err)
	}
	s.addChoice(choice)
	return nil
}

// addText takes the text of a choice and reports whether it has more to it.
func (s *assembly) addText(choice gjson.Result) (more bool) {
	choice.ForEach(func(key, value gjson.Result) bool {
		switch name := key.String(); {
		case name == "index" || value.Type == gjson.Null:
		case name == "text" && value.Type == gjson.String:
			s.grow(value)
		case name == "delta" && value.IsObject():
			value.ForEach(func(key, value gjson.Result) bool {
				switch {
				case value.Type == gjson.Null:
				case key.String() == "content" && value.Type == gjson.String:
					s.grow(value)
				default:
					more = true
				}
				return true
			})
		default:
			more = true
		}
		return true
	})
	return more
}

func (s *assembly) grow(text gjson.Result) {
	s.texts++
	s.text.WriteString(text.String())
}

// addChoice merges what a choice has beside its text.
func (s *assembly) addChoice(choice document) {
	delta, chat := choice["delta"].(document)
	delete(choice, "delta")
	if _, ok := choice["text"].(string); ok {
		delete(choice, "text")
	}
	s.choice = merge(s.choice, choice)
	if !chat {
		return
	}
	if _, ok := delta["content"].(string); ok {
		delete(delta, "content")
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
		message, ok := s.choice["message"].(document)
		if !ok {
			message = document{}
		}
		if s.texts > 0 {
			message["content"] = s.text.String()
		}
		finishMessage(message)
		s.choice["message"] = message
	} else {
		s.choice["text"] = s.text.String()
	}
	s.choice["index"] = 0
	body := map[string]any{}
	for name, v := range s.top {
		body[name] = v
	}
	body["object"], body["model"], body["choices"] = object, model, []any{s.choice}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode whole answer")
	}
	return data, nil
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
