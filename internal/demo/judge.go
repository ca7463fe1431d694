package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/standin"
)

// The promises that are judged by what callers and operators saw; stand-ins
// judge the others.
const (
	promiseNotRun        standin.Promise = "not-run"
	promiseAnswer        standin.Promise = "whole-answer"
	promiseGracefulEntry standin.Promise = "graceful-entry"
	promiseConfiguration standin.Promise = "configuration"
	promiseDrained       standin.Promise = "drained"
)

// span is a time during which something held, by entry host.
type span struct {
	host     string
	from, to time.Time
}

// judge compares what callers saw with what runners saw. In the given spans
// entry hosts were stopped as planned.
func judge(results []result, ran []standin.Request, planned []span) []standin.Breach {
	byID, byKey := map[string]standin.Request{}, map[string]standin.Request{}
	runs := map[string]int{}
	for _, q := range ran {
		byID[q.ID] = q
		runs[q.ID]++
		if _, again := byKey[q.Key]; q.Key != "" && !again {
			byKey[q.Key] = q
		}
	}
	var out []standin.Breach
	add := func(p standin.Promise, r result, detail string) {
		out = append(out, standin.Breach{Time: r.ended, Promise: p, Subject: r.id, Detail: detail})
	}
	for _, r := range results {
		if q, did := byID[r.id]; did && q.Service != r.service {
			add(promiseAnswer, r, fmt.Sprintf("sent to %s, but ran on %s", r.service, q.Task))
		}
		if n := runs[r.id]; r.once && r.key == "" && n > 1 {
			add(standin.PromiseAtMostOnce, r, fmt.Sprintf("ran %d times", n))
		}
		switch r.outcome {
		case notRun:
			if q, did := byID[r.id]; did {
				add(promiseNotRun, r, r.contradicted(q))
			} else if q, did := byKey[r.key]; did && r.key != "" && q.Time.Before(r.ended) {
				add(promiseNotRun, r, r.contradicted(q))
			}
		case lost:
			add(promiseAnswer, r, r.detail)
		case unknown:
			for _, s := range planned {
				if s.host == r.entry && r.sent.Before(s.to) && r.ended.After(s.from) && !r.timedOut() && !r.unsent() {
					add(promiseGracefulEntry, r, r.detail)
				}
			}
		}
	}
	return out
}

// timedOut reports whether the request ended unanswered at its own deadline,
// with or without a stop.
func (r result) timedOut() bool {
	return strings.HasSuffix(r.detail, "deadline") && r.ended.Sub(r.sent) >= deadline
}

// unsent reports whether an entry refused the request before it was sent, for a
// reason that leaves the fate of its key open. A stop cut nothing off there.
func (r result) unsent() bool {
	return r.key != "" && slices.ContainsFunc([]string{"home-unreachable", "keys-incomplete", "not-home", "entry-leaving"}, func(why string) bool {
		return strings.HasSuffix(r.detail, " "+why)
	})
}

// contradicted describes a request that was said not to have run.
func (r result) contradicted(q standin.Request) string {
	return fmt.Sprintf("%s at %s said %q %.2f s after it was sent; %s ran on %s %.2f s after that answer",
		r.service, r.entry, r.detail, r.ended.Sub(r.sent).Seconds(), q.ID, q.Task, q.Time.Sub(r.ended).Seconds())
}

// ownOnly counts the requests that were said not to have run although another
// one with their key ran: one that began later.
func ownOnly(results []result, ran []standin.Request) int {
	byKey := map[string]standin.Request{}
	for _, q := range ran {
		byKey[q.Key] = q
	}
	n := 0
	for _, r := range results {
		if q, did := byKey[r.key]; r.outcome == notRun && r.key != "" && did && q.ID != r.id {
			n++
		}
	}
	return n
}

// late counts the requests that began after their deadline.
func late(results []result, ran []standin.Request) int {
	sent := map[string]time.Time{}
	for _, r := range results {
		sent[r.id] = r.sent
	}
	n := 0
	for _, q := range ran {
		if at, ok := sent[q.ID]; ok && q.Time.Sub(at) > deadline {
			n++
		}
	}
	return n
}

// drainGrace is how long after an accepted drain a worker may still receive work.
const drainGrace = 5 * time.Second

// judgeDrains finds work for drained workers whose domain was not cut off.
func judgeDrains(drains []span, s seen) []standin.Breach {
	var out []standin.Breach
	for _, d := range drains {
		check := func(at time.Time, worker, what string) {
			from := d.from.Add(drainGrace)
			if worker != d.host || at.Before(from) || at.After(d.to) || cutOff(s.faults, domainOf(worker), d.from, at) {
				return
			}
			out = append(out, standin.Breach{Time: at, Promise: promiseDrained, Subject: worker, Detail: fmt.Sprintf("%s %s after the drain was accepted", what, at.Sub(d.from))})
		}
		for _, q := range s.requests {
			check(q.Time, q.Worker, "request "+q.ID)
		}
		for _, st := range s.starts {
			check(st.Time, st.Worker, "task "+st.Task)
		}
	}
	return out
}
