package snipeentry

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"
)

// errSilent: an owner does not answer reports of use, so that it will not answer a question
// either.
var errSilent = errors.New("the owner does not answer")

// question is one that is under way.
type question struct {
	cancel context.CancelCauseFunc
}

// ask returns the context of a question to an owner, which also ends when the owner is found not
// to answer. The returned function ends the question.
func (p *peers) ask(ctx context.Context, owner netip.AddrPort) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	q := &question{cancel}
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.questions == nil {
		p.questions = make(map[netip.AddrPort]map[*question]bool)
	}
	if p.questions[owner] == nil {
		p.questions[owner] = make(map[*question]bool)
	}
	p.questions[owner][q] = true
	return ctx, func() {
		cancel(nil)
		p.answered(owner, q)
	}
}

// answered forgets a question.
func (p *peers) answered(owner netip.AddrPort, q *question) {
	p.lock.Lock()
	defer p.lock.Unlock()
	delete(p.questions[owner], q)
	if len(p.questions[owner]) == 0 {
		delete(p.questions, owner)
	}
}

// silent reports whether an instance was found not to answer.
func (p *peers) silent(to netip.AddrPort) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.lost[to]
}
