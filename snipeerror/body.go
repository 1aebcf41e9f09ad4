package snipeerror

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// maxRetryAfter bounds the RetryAfter that a decoded body may contain.
const maxRetryAfter = time.Hour

// ErrBadBody is returned for a body that does not encode a CallError.
var ErrBadBody = errors.New("not a failure body")

// Body is the JSON encoding of a CallError. The lower-case fields follow the error
// object of the OpenAI API, so that common clients can read them. The other fields are
// specific to this project.
type Body struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	} `json:"error"`
	Outcome                Outcome `json:"Outcome"`
	Reason                 string  `json:"Reason,omitempty"`
	RetryAfterMilliseconds int64   `json:"RetryAfterMilliseconds,omitempty"`
	RequestID              string  `json:"RequestId,omitempty"`
}

// Encode returns the JSON body for f and the given request identifier.
func (f *CallError) Encode(requestID string) []byte {
	var b Body
	b.Error.Message = f.Error()
	b.Error.Type = string(f.Outcome)
	b.Error.Code = f.Code()
	b.Outcome = f.Outcome
	b.Reason = f.Reason
	b.RetryAfterMilliseconds = f.RetryAfter.Milliseconds()
	b.RequestID = requestID
	data, err := json.Marshal(b)
	if err != nil {
		// A struct of strings and numbers can always be encoded.
		panic(err)
	}
	return data
}

// Decode decodes a body that Encode has written. It returns ErrBadBody for any other
// body, including one with an unknown code or outcome, or with a RetryAfter that is
// negative or above maxRetryAfter.
func Decode(data []byte) (*CallError, error) {
	var b Body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, errors.Wrapf(ErrBadBody, "decode: %v", err)
	}
	if b.Outcome != NotRun && b.Outcome != MayHaveRun {
		return nil, errors.Wrapf(ErrBadBody, "outcome %q", b.Outcome)
	}
	wait := time.Duration(b.RetryAfterMilliseconds) * time.Millisecond
	if b.RetryAfterMilliseconds < 0 || wait < 0 || wait > maxRetryAfter {
		return nil, errors.Wrapf(ErrBadBody, "retry after %d ms", b.RetryAfterMilliseconds)
	}
	for _, k := range kinds {
		if k.code == b.Error.Code {
			return New(k.sentinel, b.Outcome, b.Reason).After(wait), nil
		}
	}
	return nil, errors.Wrapf(ErrBadBody, "code %q", b.Error.Code)
}

// Write writes f as the complete response. The Retry-After header is rounded up to full
// seconds.
func (f *CallError) Write(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(f.Status())
	// A write error is ignored: the caller has disconnected, and nothing can be sent.
	_, _ = w.Write(f.Encode(requestID))
}
