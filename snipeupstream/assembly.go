package snipeupstream

import (
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
)

// assembly collects the chunks of a stream into one whole answer.
type assembly struct {
	chat   bool
	text   strings.Builder
	id     string
	reason string
	usage  string
}

func (s *assembly) add(chunk []byte) {
	field := "choices.0.text"
	if s.chat {
		field = "choices.0.delta.content"
	}
	s.text.WriteString(gjson.GetBytes(chunk, field).String())
	if s.id == "" {
		s.id = gjson.GetBytes(chunk, "id").String()
	}
	if r := gjson.GetBytes(chunk, "choices.0.finish_reason").String(); r != "" {
		s.reason = r
	}
	if u := gjson.GetBytes(chunk, "usage"); u.IsObject() {
		s.usage = u.Raw
	}
}

// whole returns the answer as the engine would have sent it without streaming.
func (s *assembly) whole(model string) []byte {
	object, field := "text_completion", "choices.0.text"
	if s.chat {
		object, field = "chat.completion", "choices.0.message.content"
	}
	body := []byte(`{}`)
	set := func(path string, v any) {
		// The paths and values here are always valid JSON.
		body, _ = sjson.SetBytes(body, path, v)
	}
	set("id", s.id)
	set("object", object)
	set("model", model)
	set("choices.0.index", 0)
	if s.chat {
		set("choices.0.message.role", "assistant")
	}
	set(field, s.text.String())
	set("choices.0.finish_reason", s.reason)
	if s.usage != "" {
		body, _ = sjson.SetRawBytes(body, "usage", []byte(s.usage))
	}
	return body
}
