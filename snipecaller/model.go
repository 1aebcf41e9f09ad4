package snipecaller

import (
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"snipepitch.example/snipepitch/snipecall"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipejson"
	"snipepitch.example/snipepitch/snipetree"
)

// maxDepth bounds how deeply the body of a model call may be nested.
const maxDepth = 128

// modelBody holds the fields of a model call's body that snipecaller reads.
type modelBody struct {
	model            string
	stream           bool
	hasStreamOptions bool
}

// parseModelBody parses and checks the body of a model call. Its errors are CallErrors.
func parseModelBody(body []byte) (modelBody, error) {
	var m modelBody
	if snipejson.Depth(body) > maxDepth {
		return m, refused(snipeerror.ErrBadRequest, "body is nested deeper than "+strconv.Itoa(maxDepth))
	}
	parsed := gjson.ParseBytes(body)
	if !gjson.ValidBytes(body) || !parsed.IsObject() {
		return m, refused(snipeerror.ErrBadRequest, "body is not a JSON object")
	}
	var err error
	names := map[string]bool{}
	parsed.ForEach(func(key, value gjson.Result) bool {
		// JSON decoders differ in which of two equal names they use and in
		// whether they compare names case-insensitively.
		name := strings.ToLower(key.String())
		if names[name] {
			err = refused(snipeerror.ErrBadRequest, strconv.Quote(name)+" is given twice")
			return false
		}
		names[name] = true
		err = m.setField(key.String(), value)
		return err == nil
	})
	if err == nil && m.hasStreamOptions && !m.stream {
		err = refused(snipeerror.ErrBadRequest, `"stream_options" goes with "stream": true only`)
	}
	return m, err
}

// setField checks one field of the body and stores it if snipecaller needs it. A field
// with the value null counts as absent.
func (m *modelBody) setField(name string, value gjson.Result) error {
	if value.Type == gjson.Null {
		return nil
	}
	switch name {
	case "model":
		if value.Type != gjson.String {
			return refused(snipeerror.ErrBadRequest, `"model" must be a string`)
		}
		m.model = value.String()
	case "stream":
		if !value.IsBool() {
			return refused(snipeerror.ErrBadRequest, `"stream" must be true or false`)
		}
		m.stream = value.Bool()
	case "n", "best_of":
		if value.Raw != "1" {
			return refused(snipeerror.ErrBadRequest, strconv.Quote(name)+" must be 1: one answer a call")
		}
	case "stream_options":
		if !value.IsObject() {
			return refused(snipeerror.ErrBadRequest, `"stream_options" must be an object`)
		}
		m.hasStreamOptions = true
	case "prompt":
		return checkPrompt(value)
	}
	return nil
}

// checkPrompt refuses several prompts in one call, because each would get an
// answer of its own. A list of token numbers is one prompt.
func checkPrompt(value gjson.Result) error {
	if !value.IsArray() {
		return nil
	}
	prompts := 0
	value.ForEach(func(_, v gjson.Result) bool {
		if v.Type != gjson.Number {
			prompts++
		}
		return prompts < 2
	})
	if prompts > 1 {
		return refused(snipeerror.ErrBadRequest, `"prompt" must be one prompt`)
	}
	return nil
}

// readModel fills in the adapter, its base model, its path in the weight store and the
// Stream field of a model call from the body. It refuses an adapter that the team does
// not have.
func readModel(c *snipecall.Call, tree *snipetree.Tree) error {
	m, err := parseModelBody(c.Body)
	if err != nil {
		return err
	}
	a, err := snipecall.ParseModel(c.Team, m.model)
	if err != nil {
		return refused(snipeerror.ErrBadRequest, err.Error())
	}
	base, path, ok := tree.Find(a)
	if !ok {
		return refused(snipeerror.ErrUnknownAdapter, a.Model())
	}
	c.Adapter, c.Base, c.WeightPath = a, base, path
	c.Stream = m.stream
	return nil
}
