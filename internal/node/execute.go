package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// orderTimeout bounds a worker's answer to a change of pace.
	orderTimeout = 500 * time.Millisecond
	// adviceSlack bounds an answer about workers beside its own cost.
	adviceSlack = 1500 * time.Millisecond
)

// carryOut starts what the dispatcher wants done; the end comes back as an event.
func (n *Node) carryOut(t *term, e dispatch.Effect) {
	back := func(ev dispatch.Event) { n.send(t.ctx, coreEvent{token: t.token, event: ev}) }
	switch e := e.(type) {
	case dispatch.SendHeartbeat:
		sent := n.now()
		go n.bounded(t, e.Timeout, func(ctx context.Context) {
			code, lists := n.ports.Workers.Heartbeat(ctx, e.Heartbeat)
			back(dispatch.HeartbeatAnswered{Worker: e.Heartbeat.Worker, Incarnation: e.Incarnation, Code: code, SentAt: sent, Lists: lists})
		})
	case dispatch.StartTask:
		go n.bounded(t, e.Timeout, func(ctx context.Context) {
			began := time.Now()
			code, clock := n.ports.Workers.Start(ctx, e.Start)
			n.ports.Observe("start", time.Since(began))
			back(dispatch.StartAnswered{Worker: e.Start.Worker, Incarnation: e.Incarnation, Task: e.Start.Task, Run: e.Start.Run, Code: code, ClockMillis: clock})
		})
	case dispatch.StopTask:
		go n.bounded(t, e.Timeout, func(ctx context.Context) {
			code, _ := n.ports.Workers.Stop(ctx, e.Stop)
			back(dispatch.StopAnswered{Worker: e.Stop.Worker, Incarnation: e.Incarnation, Task: e.Stop.Task, Run: e.Stop.Run, Code: code})
		})
	case dispatch.PaceTask:
		go n.bounded(t, orderTimeout, func(ctx context.Context) {
			code, _ := n.ports.Workers.Throttle(ctx, e.Pace)
			back(dispatch.PaceAnswered{Worker: e.Pace.Worker, Incarnation: e.Incarnation, Task: e.Pace.Task, Run: e.Pace.Run, Percent: e.Pace.Percent, Code: code})
		})
	case dispatch.RequestAdvice:
		n.advise(t, e, back)
	case dispatch.Commit:
		go n.commit(t, e, back)
	case dispatch.StepDown:
		n.tenure.MarkLost()
	}
}

func (n *Node) bounded(t *term, d time.Duration, call func(context.Context)) {
	ctx, cancel := context.WithTimeout(t.ctx, d)
	defer cancel()
	call(ctx)
}

// commit writes what the dispatcher wants recorded, in order.
func (n *Node) commit(t *term, e dispatch.Commit, back func(dispatch.Event)) {
	records, err := commitRecords(e)
	if err != nil {
		n.log.WithError(err).Error("a commit can't be encoded")
		back(dispatch.Committed{Number: e.Number, Failed: true})
		return
	}
	began := time.Now()
	if _, err := t.writer.append(t.ctx, records); err != nil {
		n.ports.Count("loss", "commit-"+errorReason(err))
		back(dispatch.Committed{Number: e.Number, Failed: true})
		return
	}
	n.ports.Observe("commit", time.Since(began))
	n.observeShown(e)
	back(dispatch.Committed{Number: e.Number})
}

// tell writes the dispatcher's decisions to the log and the counters.
func (n *Node) tell(ds []dispatch.Decision) {
	for _, d := range ds {
		if d.Queued != 0 {
			n.ports.Observe("queue", d.Queued)
		}
		f := logrus.Fields{"kind": d.Kind}
		put := func(k, v string) {
			if v != "" {
				f[k] = v
			}
		}
		put("job", d.Job)
		put("task", d.Task)
		put("worker", d.Worker)
		put("outcome", d.Outcome)
		put("reason", d.Reason)
		put("needs", d.Needs)
		if d.Run != 0 {
			f["run"] = d.Run
		}
		if d.Age != 0 {
			f["age_ms"] = d.Age.Milliseconds()
		}
		if d.Queued != 0 {
			f["queued_ms"] = d.Queued.Milliseconds()
		}
		n.log.WithFields(f).Info("decision")
	}
}

// advise sends the question to the node that is expected to have it answered first.
func (n *Node) advise(t *term, e dispatch.RequestAdvice, back func(dispatch.Event)) {
	m := n.members.choose(n.now(), e.Cost, e.Urgent, e.Overdue)
	if m == nil {
		n.ports.Count("retry", "advice-busy")
		go back(dispatch.AdviceAnswered{Step: e.Step, Asked: e.Workers, Failed: true})
		return
	}
	timeout := m.busy(n.now()) + e.Cost + adviceSlack
	go n.bounded(t, timeout, func(ctx context.Context) {
		began := time.Now()
		var a worker.Approvals
		var err error
		if m.node == n.set.Node {
			a, err = n.ports.Adviser.ApproveWorkers(ctx, e.Step, e.Workers)
		} else {
			a, err = n.ports.Peers.Advise(ctx, m.address, e.Step, e.Workers)
		}
		n.ports.Observe("advice", time.Since(began))
		n.views.called(serviceAdvice, err)
		if err != nil {
			n.ports.Count("retry", "advice-failed")
		}
		n.send(t.ctx, adviceEnded{node: m.node, failed: err != nil})
		back(dispatch.AdviceAnswered{Step: e.Step, Asked: e.Workers, Approvals: a, Failed: err != nil})
	})
}

// Advise asks the policy service for the holder of the right, which is another node.
func (n *Node) ApproveWorkers(ctx context.Context, step workflow.StepID, workers []string) (worker.Approvals, error) {
	return n.ports.Adviser.ApproveWorkers(ctx, step, workers)
}
