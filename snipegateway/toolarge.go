package snipegateway

import (
	"time"

	"github.com/go-faster/errors"

	"snipepitch.example/snipepitch/snipelink"
	"snipepitch.example/snipepitch/snipelog"
)

// AnswerPart is the part of an answer that exceeded a bound.
type AnswerPart string

// The parts of an answer.
const (
	// PartHead is what precedes the body: interim answers, the status line and the header.
	PartHead AnswerPart = "Head"
	// PartEvent is one event of a stream.
	PartEvent AnswerPart = "Event"
	// PartAnswer is the answer to an order, or a report.
	PartAnswer AnswerPart = "Answer"
)

// errEventTooLong is the error of a stream with an event of more than maxEvent bytes.
var errEventTooLong = errors.New("event too long")

// RecordTooLarge counts and logs an answer that exceeded a bound. The fields name its sender.
func (g *Gateway) RecordTooLarge(part AnswerPart, why error, fields snipelog.Fields) {
	g.Meter.Count(`snipepitch_answers_too_large_total{part="` + string(part) + `"}`)
	suppressed, ok := g.tooLarge.Admit(time.Now())
	if !ok {
		return
	}
	fields["Part"], fields["Suppressed"] = part, suppressed
	g.Log.Error(snipelog.AnswerTooLarge, why, fields)
}

// noteTooLarge records the answer of an attempt if err says that it exceeded a bound.
func (c *call) noteTooLarge(err error) {
	part := PartHead
	switch {
	case errors.Is(err, errEventTooLong):
		part = PartEvent
	case !errors.Is(err, snipelink.ErrTooLarge):
		return
	}
	fields := snipelog.Fields{requestField: c.ID}
	if c.peer.IsValid() {
		fields["Peer"] = c.peer
	} else {
		fields[upstreamField] = c.upstream.ID
	}
	c.gateway.RecordTooLarge(part, err, fields)
}
