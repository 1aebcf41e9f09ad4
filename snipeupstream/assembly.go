package snipeupstream

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"snipepitch.example/snipepitch/snipeerror"
)

// MaxAnswer bounds the total bytes of the chunks of one whole answer.
const MaxAnswer = 16 << 20

// document is a decoded JSON object that may have fields unknown to this package.
type document = map[string]any

// assembly merges the chunks of a stream into one whole answer. It relies on the
// shape of chunks rather than on single fields: deltas are merged into a message,
// lists are appended to, and list entries with an index are merged with the entry
// of the same index. Tool calls, log probabilities and fields of later engine
// versions are thereby kept. Most chunks contain only text, which is collected
// without decoding the rest.
type assembly struct {
	chat bool
	size int
	// topFields holds the latest top-level fields other than the choices, undecoded.
	topFields map[string]json.RawMessage
	choice    document
	text      strings.Builder
	textCount int // number of text strings collected, including empty ones
}

// add merges one chunk, which is valid JSON.
func (s *assembly) add(chunk []byte) error {
	if s.size += len(chunk); s.size > MaxAnswer {
		return snipeerror.New(snipeerror.ErrTooLarge, snipeerror.MayHaveRun, "answer of the engine")
	}
	if s.topFields == nil {
		s.topFields = map[string]json.RawMessage{}
		s.choice = document{}
	}
	var err error
	gjson.ParseBytes(chunk).ForEach(func(key, value gjson.Result) bool {
		name := key.String()
		switch {
		case name == "choices":
			err = s.addChoices(value)
		case value.Type != gjson.Null && string(s.topFields[name]) != value.Raw:
			s.topFields[strings.Clone(name)] = json.RawMessage(value.Raw)
		}
		return err == nil
	})
	return err
}

// addChoices merges the choices of a chunk. A chunk may have no choice or one.
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

// addText collects the text of a choice and reports whether other fields must be merged.
func (s *assembly) addText(choice gjson.Result) (more bool) {
	choice.ForEach(func(key, value gjson.Result) bool {
		switch name := key.String(); {
		case name == "index" || value.Type == gjson.Null:
		case name == "text" && value.Type == gjson.String:
			s.appendText(value)
		case name == "delta" && value.IsObject():
			value.ForEach(func(key, value gjson.Result) bool {
				switch {
				case value.Type == gjson.Null:
				case key.String() == "content" && value.Type == gjson.String:
					s.appendText(value)
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

func (s *assembly) appendText(text gjson.Result) {
	s.textCount++
	s.text.WriteString(text.String())
}

// addChoice merges the fields of a choice other than its text.
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

// replacedFields are the string fields that a later chunk repeats or replaces. The
// strings of all other fields are concatenated.
var replacedFields = map[string]bool{
	"role": true, "id": true, "type": true, "name": true,
	"finish_reason": true, "stop_reason": true, "index": true,
}

// merge merges the fields of from into into, which it returns.
func merge(into, from document) document {
	for name, v := range from {
		into[name] = mergeValue(name, into[name], v)
	}
	return into
}

// mergeValue returns the merged value of a field. Null keeps the old value.
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
		case !replacedFields[name]:
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

// mergeList appends entries to a list, but merges an entry that has an index with
// the entry of the same index.
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

// findIndex returns the entry of a list with the given index, or nil.
func findIndex(list []any, index json.Number) document {
	for _, v := range list {
		if entry, ok := v.(document); ok && entry["index"] == any(index) {
			return entry
		}
	}
	return nil
}

// whole returns the answer in the form that the engine would send without streaming.
func (s *assembly) whole(model string) ([]byte, error) {
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		message, ok := s.choice["message"].(document)
		if !ok {
			message = document{}
		}
		if s.textCount > 0 {
			message["content"] = s.text.String()
		}
		finishMessage(message)
		s.choice["message"] = message
	} else {
		s.choice["text"] = s.text.String()
	}
	s.choice["index"] = 0
	body := map[string]any{}
	for name, v := range s.topFields {
		body[name] = v
	}
	body["object"], body["model"], body["choices"] = object, model, []any{s.choice}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode whole answer")
	}
	return data, nil
}

// finishMessage removes the fields that only chunks have, and adds the fields that every
// message has.
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
