// Package snipejson decodes settings strictly: unknown fields, duplicate names
// and trailing data are errors that name the place.
package snipejson

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxDepth bounds the nesting of a settings document.
const maxDepth = 64

// Errors of Decode.
var (
	ErrDuplicate = errors.New("duplicate name")
	ErrUnknown   = errors.New("unknown field")
	ErrTrailing  = errors.New("data after the document")
	ErrTooDeep   = errors.New("nested too deeply")
)

// Decode reads the one JSON document in data into v. It refuses unknown
// fields, duplicate names and anything after the document.
func Decode(data []byte, v any) error {
	if err := checkNames(data, reflect.TypeOf(v)); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Wrap(err, "decode"+failing(data, v))
	}
	return nil
}

// failing names the field of the document that cannot be decoded: types that
// decode themselves do not tell. It is empty when no single field is at fault.
func failing(data []byte, v any) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return ""
	}
	for name, raw := range fields {
		one, err := json.Marshal(map[string]json.RawMessage{name: raw})
		if err == nil && json.Unmarshal(one, reflect.New(reflect.TypeOf(v).Elem()).Interface()) != nil {
			return " " + name
		}
	}
	return ""
}

// checkNames walks the document once and refuses a name given twice, and one
// that is not exactly a field's: encoding/json takes any case for it, so that
// a field could be given twice by two spellings.
func checkNames(data []byte, t reflect.Type) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := checkValue(d, nil, t); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return ErrTrailing
	}
	return nil
}

func checkValue(d *json.Decoder, path []string, of reflect.Type) error {
	if len(path) > maxDepth {
		return errors.Wrap(ErrTooDeep, strings.Join(path[:4], "."))
	}
	t, err := d.Token()
	if err != nil {
		return errors.Wrapf(err, "at %q", strings.Join(path, "."))
	}
	switch t {
	case json.Delim('{'):
		return checkObject(d, path, shape(of))
	case json.Delim('['):
		return checkArray(d, path, shape(of))
	}
	return nil
}

// shape returns the type whose fields or elements a value has; nil when the
// type decodes itself or is not known.
func shape(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nil || reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return nil
	}
	return t
}

// below returns the type of the value under a name, and whether there may be
// such a name.
func below(t reflect.Type, name string) (reflect.Type, bool) {
	switch {
	case t == nil:
		return nil, true
	case t.Kind() == reflect.Map:
		return t.Elem(), true
	case t.Kind() != reflect.Struct:
		return nil, true
	}
	for _, f := range reflect.VisibleFields(t) {
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name || tag == "" && f.Name == name {
			return f.Type, f.IsExported()
		}
	}
	return nil, false
}

func checkObject(d *json.Decoder, path []string, of reflect.Type) error {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return errors.Wrapf(err, "at %q", strings.Join(path, "."))
		}
		name, _ := token.(string)
		inner := slices.Concat(path, []string{name})
		if seen[name] {
			return errors.Wrap(ErrDuplicate, strings.Join(inner, "."))
		}
		seen[name] = true
		t, ok := below(of, name)
		if !ok {
			return errors.Wrap(ErrUnknown, strings.Join(inner, "."))
		}
		if err := checkValue(d, inner, t); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func checkArray(d *json.Decoder, path []string, of reflect.Type) error {
	inner := slices.Concat(path, []string{"[]"})
	var element reflect.Type
	if of != nil && (of.Kind() == reflect.Slice || of.Kind() == reflect.Array) {
		element = of.Elem()
	}
	for d.More() {
		if err := checkValue(d, inner, element); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// Duration is a time.Duration written as a string such as "150ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(v)
	return nil
}

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }
