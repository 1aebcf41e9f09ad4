// Package snipejson decodes settings strictly: unknown fields, duplicate names
// and trailing data are errors that name the place.
package snipejson

import (
	"bytes"
	"encoding/json"
	"io"
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
	ErrTrailing  = errors.New("data after the document")
	ErrTooDeep   = errors.New("nested too deeply")
)

// Decode reads the one JSON document in data into v. It refuses unknown
// fields, duplicate names and anything after the document.
func Decode(data []byte, v any) error {
	if err := checkNames(data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

// checkNames walks the document once and refuses a name given twice.
func checkNames(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	if err := checkValue(d, nil); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return ErrTrailing
	}
	return nil
}

func checkValue(d *json.Decoder, path []string) error {
	if len(path) > maxDepth {
		return errors.Wrap(ErrTooDeep, strings.Join(path[:4], "."))
	}
	t, err := d.Token()
	if err != nil {
		return errors.Wrapf(err, "at %q", strings.Join(path, "."))
	}
	switch t {
	case json.Delim('{'):
		return checkObject(d, path)
	case json.Delim('['):
		return checkArray(d, path)
	}
	return nil
}

func checkObject(d *json.Decoder, path []string) error {
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return errors.Wrapf(err, "at %q", strings.Join(path, "."))
		}
		name, _ := t.(string)
		below := slices.Concat(path, []string{name})
		if seen[name] {
			return errors.Wrap(ErrDuplicate, strings.Join(below, "."))
		}
		seen[name] = true
		if err := checkValue(d, below); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func checkArray(d *json.Decoder, path []string) error {
	below := slices.Concat(path, []string{"[]"})
	for d.More() {
		if err := checkValue(d, below); err != nil {
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
