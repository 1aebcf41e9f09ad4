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

// errCut is an answer that ended before it was whole.
var errCut = errors.New("answer ended early")

// decisions are the codes by which the system decides on a call for good.
// They depend on the settings alone, so no fault excuses a wrong one.
var decisions = []error{
	snipeerror.ErrBadRequest, snipeerror.ErrUnauthenticated, snipeerror.ErrForbidden,
	snipeerror.ErrUnknownAdapter, snipeerror.ErrUnknownService, snipeerror.ErrTooLarge,
}

func decided(code string) bool {
	return slices.ContainsFunc(decisions, func(kind error) bool {
		return snipeerror.New(kind, snipeerror.NotRun, "").Code() == code
	})
}

// judgeRefusal compares how the call ended with the stated outcome.
func (r *Result) judgeRefusal() {
	want := r.Record.Code
	switch {
	case r.Record.Crashes && r.Answered:
		r.breach("answered, but its prompt crashes engines")
	case want != "" && r.Answered:
		r.breach("answered, but must be refused with " + want)
	case want == r.Refused:
	case decided(r.Refused):
		r.breach("refused with " + r.Refused + ", stated is " + quoteOutcome(want))
	}
	if want != "" && want == r.Refused && r.Tries[len(r.Tries)-1].Outcome != NotRun {
		r.breach("refused with " + want + ", but as may have run")
	}
}

func quoteOutcome(code string) string {
	if code == "" {
		return "an answer"
	}
	return code
}

// read reads a whole answer and compares it with the stated outcome. An error
// means that the answer did not arrive as a whole, which is no breach.
func (r *Result) read(response *http.Response) error {
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
		return errors.Wrap(errCut, err.Error())
	}
	r.checkModel(data)
	if gjson.GetBytes(data, "choices.0.finish_reason").String() == "" {
		r.breach("whole answer without a finish reason")
	}
	r.checkText(gjson.GetBytes(data, "choices.0.text").String())
	return nil
}

func (r *Result) readService(response *http.Response) error {
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(errCut, err.Error())
	}
	body, key := gjson.GetBytes(data, "Body").String(), gjson.GetBytes(data, "Key").String()
	if body != r.Record.Prompt || key != r.Record.Key {
		r.breach("answer of another caller: " + string(data))
	}
	return nil
}

func (r *Result) readStream(body io.Reader) error {
	var text strings.Builder
	reader := snipestream.NewReader(body)
	finished := false
	for sequence := uint64(1); ; sequence++ {
		e, err := reader.Read()
		if err != nil {
			return errors.Wrap(errCut, err.Error())
		}
		if e.ID != sequence {
			r.breach("chunks out of order")
		}
		if e.Name == "error" {
			return r.streamFailure(e.Data, sequence)
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

// streamFailure reads the failure that ends a stream.
func (r *Result) streamFailure(data []byte, sequence uint64) error {
	f, err := snipeerror.Decode(data)
	if err != nil {
		r.breach("stream ended by an unreadable failure: " + string(data))
		return errCut
	}
	if f.Outcome == snipeerror.NotRun && sequence > 1 {
		r.breach("said to be not run after a part of the answer")
	}
	return f
}

func (r *Result) checkAdapter(header http.Header) {
	if got := header.Get(snipecaller.AdapterHeader); got != r.Record.Model {
		r.breach("answered as " + got)
	}
}

func (r *Result) checkModel(data []byte) {
	if got := gjson.GetBytes(data, "model").String(); got != r.Record.Model {
		r.breach("chunk of model " + got)
	}
}

// checkText compares the text with what the stated adapter answers.
func (r *Result) checkText(text string) {
	if r.Record.Code != "" {
		return
	}
	want := strings.Join(snipestand.Answer(r.Record.Path, r.Record.Prompt, r.Record.MaxTokens), "")
	if text != want {
		r.breach("wrong answer: " + text)
	}
}
