package snipeupstream

import (
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"snipepitch.example/snipepitch/snipecall"
)

// ErrBody is returned for a call whose body is not one JSON object.
var ErrBody = errors.New("body is not a JSON object")

// priorities are the engine's priorities by class; the lowest is the most urgent.
var priorities = [snipecall.Classes]int{0, 10, 20}

// requestBody returns the call's body in the form sent to the engine. The fields
// that this package sets are dropped from the caller's body, also in a spelling
// that only some decoders accept, so that a second "model" cannot name another
// team's alias. A body that is not one JSON object is ErrBody.
func requestBody(c *snipecall.Call, alias string) ([]byte, error) {
	parsed := gjson.ParseBytes(c.Body)
	if !parsed.IsObject() || !gjson.ValidBytes(c.Body) {
		return nil, ErrBody
	}
	body := make([]byte, 0, len(c.Body)+len(alias)+128)
	body = append(body, `{"model":`...)
	body = strconv.AppendQuote(body, alias)
	body = append(body, `,"stream":true,"priority":`...)
	body = strconv.AppendInt(body, int64(priorities[c.Class]), 10)
	if !c.Stream {
		// The whole answer includes the usage, which arrives in the stream's last chunk.
		body = append(body, `,"stream_options":{"include_usage":true}`...)
	}
	parsed.ForEach(func(key, value gjson.Result) bool {
		if !overridden(key.String(), c.Stream) {
			body = append(body, ',')
			body = append(body, key.Raw...)
			body = append(body, ':')
			body = append(body, value.Raw...)
		}
		return true
	})
	return append(body, '}'), nil
}

// overridden reports whether requestBody sets a field itself.
func overridden(name string, stream bool) bool {
	for _, own := range []string{"model", "stream", "priority"} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return !stream && strings.EqualFold(name, "stream_options")
}
