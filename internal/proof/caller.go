package proof

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// Times and chances of callers.
const (
	callEvery    = 250 * time.Millisecond
	callerWait   = 10 * time.Second
	maxTries     = 4
	resendAfter  = 2 * time.Second
	idemPerMille = 400
	keyPerMille  = 700
)

// callers send requests to the entries of their domain, as a balancer spreads
// them. A request with a key is sent again when nothing certain came of it.
func (h *history) callers(domain string) {
	h.every(h.between(3*time.Second, 4*time.Second), callEvery, func() {
		h.requests++
		q := checker.Request{Number: h.requests, Idempotent: h.chance(idemPerMille)}
		if !q.Idempotent && h.chance(keyPerMille) {
			q.Key = fmt.Sprint("key ", h.requests)
		}
		h.try(domain, fmt.Sprint("svc", max(0, h.rand.IntN(2*watched)-watched)), q, 1)
	})
}

func (h *history) try(domain, service string, q checker.Request, tries int) {
	var up []*entry
	for _, e := range h.entries {
		if e.domain == domain && e.up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := pick(h.World, up)
	number, told := e.number, false
	end := func(end routing.Result, body string) {
		h.stream(e.host, callerHost, func() {
			if number == e.number {
				told = true
				h.told(q, end, body)
			}
			if end.Outcome != routing.OutcomeAnswered {
				h.again(domain, service, q, tries)
			}
		})
	}
	h.stream(callerHost, e.host, func() {
		e.run(number, func() { e.admit(&admitted{Request: q, service: service, end: end}, callerWait, false) })
	})
	h.after(2*callerWait, func() {
		if !told {
			h.again(domain, service, q, tries)
		}
	})
}

// callerHost is the callers' end of a link.
const callerHost = "callers"

func (h *history) told(q checker.Request, end routing.Result, body string) {
	what := map[routing.Outcome]checker.Told{
		routing.OutcomeAnswered: checker.ToldAnswer, routing.OutcomeNotRun: checker.ToldNotRun, routing.OutcomeUnknown: checker.ToldUnknown,
	}[end.Outcome]
	h.Requests.Told(h.now, q, what, body)
}

// again sends a request with a key anew, as another try.
func (h *history) again(domain, service string, q checker.Request, tries int) {
	if q.Key == "" || tries >= maxTries {
		return
	}
	h.requests++
	q.Number = h.requests
	h.after(h.upTo(resendAfter), func() { h.try(domain, service, q, tries+1) })
}
