// Package snipejson decodes settings strictly. Unknown fields, duplicate names and
// trailing data are errors, which contain the path of the field.
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

// Decode decodes the JSON document in data into v, which is a pointer. It rejects
// unknown fields, duplicate names and any data after the document.
func Decode(data []byte, v any) error {
	if err := checkNames(data, reflect.TypeOf(v)); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Wrap(err, "decode"+failingField(data, v))
	}
	return nil
}

// failingField returns a space and the name of a top-level field that cannot be
// decoded, since the errors of types with their own decoding methods do not contain the
// name. It returns an empty string if every field on its own can be decoded.
func failingField(data []byte, v any) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return ""
	}
	for name, raw := range fields {
		single, err := json.Marshal(map[string]json.RawMessage{name: raw})
		if err == nil && json.Unmarshal(single, reflect.New(reflect.TypeOf(v).Elem()).Interface()) != nil {
			return " " + name
		}
	}
	return ""
}

// checkNames rejects a name that occurs twice in an object, a name that is not exactly the
// name of a field, and trailing data. encoding/json ignores the case of names, so that a
// field could otherwise be given twice in two spellings.
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

// checkValue checks the names in the next value, which is decoded into the given type;
// nil if the names are not known.
func checkValue(d *json.Decoder, path []string, typ reflect.Type) error {
	if len(path) > maxDepth {
		return errors.Wrap(ErrTooDeep, strings.Join(path[:4], "."))
	}
	t, err := d.Token()
	if err != nil {
		return errors.Wrapf(err, "at %q", strings.Join(path, "."))
	}
	switch t {
	case json.Delim('{'):
		return checkObject(d, path, containerType(typ))
	case json.Delim('['):
		return checkArray(d, path, containerType(typ))
	}
	return nil
}

// containerType returns the type that defines the fields or elements of a value of type
// t: t without pointers. It returns nil if t is nil or implements json.Unmarshaler.
func containerType(t reflect.Type) reflect.Type {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == nil || reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) {
		return nil
	}
	return t
}

// memberType returns the type of the value with the given name in an object that is
// decoded into t, and whether the name is allowed. The type is nil if it is not known.
func memberType(t reflect.Type, name string) (reflect.Type, bool) {
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

func checkObject(d *json.Decoder, path []string, typ reflect.Type) error {
	names := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return errors.Wrapf(err, "at %q", strings.Join(path, "."))
		}
		name, _ := token.(string)
		memberPath := slices.Concat(path, []string{name})
		if names[name] {
			return errors.Wrap(ErrDuplicate, strings.Join(memberPath, "."))
		}
		names[name] = true
		t, ok := memberType(typ, name)
		if !ok {
			return errors.Wrap(ErrUnknown, strings.Join(memberPath, "."))
		}
		if err := checkValue(d, memberPath, t); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func checkArray(d *json.Decoder, path []string, typ reflect.Type) error {
	memberPath := slices.Concat(path, []string{"[]"})
	var element reflect.Type
	if typ != nil && (typ.Kind() == reflect.Slice || typ.Kind() == reflect.Array) {
		element = typ.Elem()
	}
	for d.More() {
		if err := checkValue(d, memberPath, element); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

// Duration is a time.Duration that is encoded as a string such as "150ms".
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
