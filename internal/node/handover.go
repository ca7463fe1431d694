package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// A leader that gets less processor time than its share still renews its leadership in
// time, but starts and ends of tasks pile up. It hands leadership over to a node with as
// large a share. A leader that uses its share and has too much to do keeps leadership, since
// the next one would have as much to do.
const (
	// handOverAfter is for how long answers of workers must be late on the whole.
	handOverAfter = time.Second
	// starvedShare is the part of its share of a core that the process must have got less
	// than in the meantime.
	starvedShare = 0.4
	// minHandOverTerm is how long the node must have led. Answers are late after a takeover.
	minHandOverTerm = 2 * time.Second
	// handOverRest is the least time between two handovers of overloaded leaders. If work
	// overloads every leader, a handover doesn't help. For the same time, the node that has
	// handed over leaves claims to others.
	handOverRest = 15 * time.Second
	// restDeferral is how much later it claims in that time.
	restDeferral = slowPollerDelay
	// handOverAttempts is how often the release is written before the other nodes have to
	// notice the silence.
	handOverAttempts = 3
)

// lateness measures the processor time of the process while answers are late.
type lateness struct {
	late           bool
	since, usedAt0 time.Duration
}

// observe returns the processor time that the process has got since answers became late, and
// how long ago that was, given the total at now.
func (l *lateness) observe(now, total time.Duration, late bool) (used, since time.Duration) {
	if !late || !l.late {
		l.late, l.since, l.usedAt0 = late, now, total
	}
	return total - l.usedAt0, now - l.since
}

// overload is what a leader knows when it decides whether to hand over.
type overload struct {
	now, termStartedAt time.Duration
	// lateFor is for how long answers have been late, used the processor time that the
	// process has got since then.
	lateFor, used time.Duration
	// releasedAt is when an overloaded leader last handed over, released whether one has.
	releasedAt time.Duration
	released   bool
	// cpuShare is the node's share of a core, others are the other nodes.
	cpuShare float64
	others   []Member
}

// shouldHandOver reports whether an overloaded leader should leave leadership to another
// node.
func (o *overload) shouldHandOver() bool {
	if o.lateFor < handOverAfter || float64(o.used) > starvedShare*o.cpuShare*float64(o.lateFor) {
		return false
	}
	if o.now-o.termStartedAt < minHandOverTerm || o.released && o.now-o.releasedAt < handOverRest {
		return false
	}
	for _, m := range o.others {
		if !m.Leaving && m.CPUShare*largerFactor > o.cpuShare {
			return true
		}
	}
	return false
}

// handOverIfOverloaded hands leadership over if this node leads and is overloaded.
func (n *Node) handOverIfOverloaded(ctx context.Context) {
	t := n.term
	if n.deps.ProcessorTime == nil || t == nil || t.dispatcher == nil || t.handoverUntil > 0 || n.desk.leaving.Load() || n.storeReader.isDown() || !n.leadership.IsLeader() {
		n.lateness = lateness{} // the next term is judged by itself
		return
	}
	isLate, total := t.dispatcher.AnswersLate(), time.Duration(0)
	if isLate {
		total = n.deps.ProcessorTime() // a system call, which isn't made at each step
	}
	used, late := n.lateness.observe(n.uptime(), total, isLate)
	o := overload{now: n.uptime(), termStartedAt: t.startedAt, lateFor: late, used: used, cpuShare: n.settings.Limits.CPUShare}
	if o.lateFor < handOverAfter {
		return
	}
	o.releasedAt, o.released = n.leadership.OverloadedReleaseAt()
	for _, m := range n.Members() {
		if m.Node != n.settings.Node {
			o.others = append(o.others, m)
		}
	}
	if !o.shouldHandOver() {
		return
	}
	n.restUntil = o.now + handOverRest
	n.updateClaimDeferral(n.Members())
	t.handoverUntil = o.now + maxHandoverTime
	record := n.leadership.StepDownOverloaded()
	n.deps.Count("dispatch", "handed-over")
	n.log.WithFields(logrus.Fields{"token": t.token, "late_ms": o.lateFor.Milliseconds()}).Warn("the term is handed over: this node is short of processor time")
	go n.appendRelease(ctx, record, handOverAttempts)
}

// appendRelease writes the release of leadership, in so many attempts at most. It needs no
// condition, since it has no effect once there is a newer token.
func (n *Node) appendRelease(ctx context.Context, record tenure.Record, attempts int) {
	for range attempts {
		callCtx, cancel := context.WithTimeout(ctx, leadershipAppendTimeout)
		_, err := n.deps.Store.Append(callCtx, tenurePartition, []store.Record{{Key: "holder", Value: record.Encode()}}, store.AppendOptions{})
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		n.deps.Count("loss", "release-"+errorReason(err))
	}
}
