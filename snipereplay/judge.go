package snipereplay

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"

	"snipepitch.example/snipepitch/snipecaller"
	"snipepitch.example/snipepitch/snipeerror"
	"snipepitch.example/snipepitch/snipestand"
	"snipepitch.example/snipepitch/snipestream"
)

// errTruncated is returned for an answer that ended before it was complete.
var errTruncated = errors.New("answer ended early")

// finalErrors are the errors after which a retry cannot succeed. They depend only
// on the call and the settings, so no fault of the system excuses a wrong one.
var finalErrors = []error{
	snipeerror.ErrBadRequest, snipeerror.ErrUnauthenticated, snipeerror.ErrForbidden,
	snipeerror.ErrUnknownAdapter, snipeerror.ErrUnknownService, snipeerror.ErrTooLarge,
}

// isFinal reports whether code is that of one of finalErrors.
func isFinal(code string) bool {
	return slices.ContainsFunc(finalErrors, func(kind error) bool {
		return snipeerror.New(kind, snipeerror.NotRun, "").Code() == code
	})
}

// checkOutcome compares how the call ended with the outcome that the trace states.
func (r *Result) checkOutcome() {
	want := r.Record.Code
	switch {
	case r.Record.Crashes && r.Answered:
		r.breach("answered, but its prompt crashes engines")
	case want != "" && r.Answered:
		r.breach("answered, but must be refused with " + want)
	case want == r.Refused:
	case isFinal(r.Refused):
		r.breach("refused with " + r.Refused + ", stated is " + describeOutcome(want))
	}
	if want != "" && want == r.Refused && r.Tries[len(r.Tries)-1].Outcome != NotRun {
		r.breach("refused with " + want + ", but as may have run")
	}
}

// describeOutcome returns the text of a stated code in a breach.
func describeOutcome(code string) string {
	if code == "" {
		return "an answer"
	}
	return code
}

// readAnswer reads a whole answer and compares it with the stated outcome. An error
// means that the answer did not arrive completely, which is no breach.
func (r *Result) readAnswer(response *http.Response) error {
	switch {
	case r.Record.Service != "":
		return r.readService(response)
	case r.Record.Stream:
		r.checkAdapter(response.Header)
		return r.readStream(response.Body)
	}
	r.checkAdapter(response.Header)
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	r.checkModel(data)
	if gjson.GetBytes(data, "choices.0.finish_reason").String() == "" {
		r.breach("whole answer without a finish reason")
	}
	r.checkText(gjson.GetBytes(data, "choices.0.text").String())
	return nil
}

// readService reads the answer of a service and checks that it belongs to the call.
func (r *Result) readService(response *http.Response) error {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(errTruncated, err.Error())
	}
	body, key := gjson.GetBytes(data, "Body").String(), gjson.GetBytes(data, "Key").String()
	if body != r.Record.Prompt || key != r.Record.Key {
		r.breach("answer of another caller: " + string(data))
	}
	return nil
}

// readStream reads a streamed answer and checks its events.
func (r *Result) readStream(body io.Reader) error {
	var text strings.Builder
	reader := snipestream.NewReader(body)
	finished := false
	for sequence := uint64(1); ; sequence++ {
		e, err := reader.Read()
		if err != nil {
			return errors.Wrap(errTruncated, err.Error())
		}
		if e.ID != sequence {
			r.breach("chunks out of order")
		}
		if e.Name == "error" {
			return r.readStreamFailure(e.Data, sequence)
		}
		if string(e.Data) == "[DONE]" {
			break
		}
		r.checkModel(e.Data)
		finished = finished || gjson.GetBytes(e.Data, "choices.0.finish_reason").String() != ""
		text.WriteString(gjson.GetBytes(e.Data, "choices.0.text").String())
	}
	if !finished {
		r.breach("stream ended without a finish reason")
	}
	if _, err := reader.Read(); !errors.Is(err, io.EOF) {
		r.breach("something follows the end of the stream")
	}
	r.checkText(text.String())
	return nil
}

// readStreamFailure reads the failure that ends a stream as event number sequence.
func (r *Result) readStreamFailure(data []byte, sequence uint64) error {
	f, err := snipeerror.Decode(data)
	if err != nil {
		r.breach("stream ended by an unreadable failure: " + string(data))
		return errTruncated
	}
	if f.Outcome == snipeerror.NotRun && sequence > 1 {
		r.breach("said to be not run after a part of the answer")
	}
	return f
}

// checkAdapter checks the adapter that the header of the answer states.
func (r *Result) checkAdapter(header http.Header) {
	if got := header.Get(snipecaller.AdapterHeader); got != r.Record.Model {
		r.breach("answered as " + got)
	}
}

// checkModel checks the model that a chunk states.
func (r *Result) checkModel(data []byte) {
	if got := gjson.GetBytes(data, "model").String(); got != r.Record.Model {
		r.breach("chunk of model " + got)
	}
}

// checkText compares the text with the answer of the adapter that the record states.
func (r *Result) checkText(text string) {
	if r.Record.Code != "" {
		return
	}
	want := strings.Join(snipestand.Answer(r.Record.Path, r.Record.Prompt, r.Record.MaxTokens), "")
	if text != want {
		r.breach("wrong answer: " + text)
	}
}
