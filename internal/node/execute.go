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
	// paceTimeout bounds a worker's answer to a throttling order.
	paceTimeout = 500 * time.Millisecond
	// policyTimeoutMargin is added to the cost of a policy call and the node's backlog
	// to get its timeout.
	policyTimeoutMargin = 1500 * time.Millisecond
)

// execute starts an effect of the dispatcher. The result comes back as an event.
func (n *Node) execute(t *term, e dispatch.Effect) {
	reply := func(ev dispatch.Event) { n.send(t.ctx, dispatcherEvent{token: t.token, event: ev}) }
	switch e := e.(type) {
	case dispatch.SendHeartbeat:
		sent := n.uptime()
		go n.callWithTimeout(t, e.Timeout, func(ctx context.Context) {
			code, lists := n.deps.Workers.Heartbeat(ctx, e.Heartbeat)
			reply(dispatch.HeartbeatAnswered{Worker: e.Heartbeat.Worker, Incarnation: e.Incarnation, Code: code, SentAt: sent, Lists: lists})
		})
	case dispatch.StartTask:
		go n.callWithTimeout(t, e.Timeout, func(ctx context.Context) {
			began := time.Now()
			code, clock := n.deps.Workers.Start(ctx, e.Start)
			n.deps.Observe("start", time.Since(began))
			reply(dispatch.StartAnswered{Worker: e.Start.Worker, Incarnation: e.Incarnation, Task: e.Start.Task, Run: e.Start.Run, Code: code, ClockMillis: clock})
		})
	case dispatch.StopTask:
		go n.callWithTimeout(t, e.Timeout, func(ctx context.Context) {
			code, _ := n.deps.Workers.Stop(ctx, e.Stop)
			reply(dispatch.StopAnswered{Worker: e.Stop.Worker, Incarnation: e.Incarnation, Task: e.Stop.Task, Run: e.Stop.Run, Code: code})
		})
	case dispatch.PaceTask:
		go n.callWithTimeout(t, paceTimeout, func(ctx context.Context) {
			code, _ := n.deps.Workers.Throttle(ctx, e.Pace)
			reply(dispatch.PaceAnswered{Worker: e.Pace.Worker, Incarnation: e.Incarnation, Task: e.Pace.Task, Run: e.Pace.Run, Percent: e.Pace.Percent, Code: code})
		})
	case dispatch.RequestAdvice:
		n.requestApprovals(t, e, reply)
	case dispatch.ListMachines:
		sent := n.uptime()
		go n.callWithTimeout(t, machineListTimeout, func(ctx context.Context) {
			machines, err := n.listMachines(ctx)
			reply(dispatch.MachinesListed{Machines: machines, SentAt: sent, Failed: err != nil})
		})
	case dispatch.Commit:
		go n.commit(t, e, reply)
	case dispatch.StepDown:
		n.leadership.MarkLost()
	}
}

func (n *Node) callWithTimeout(t *term, d time.Duration, call func(context.Context)) {
	ctx, cancel := context.WithTimeout(t.ctx, d)
	defer cancel()
	call(ctx)
}

// logDecisions logs the dispatcher's decisions and records their queueing times.
func (n *Node) logDecisions(decisions []dispatch.Decision) {
	for _, d := range decisions {
		if d.Queued != 0 {
			n.deps.Observe("queue", d.Queued)
		}
		fields := logrus.Fields{"kind": d.Kind}
		addField := func(k, v string) {
			if v != "" {
				fields[k] = v
			}
		}
		addField("job", d.Job)
		addField("task", d.Task)
		addField("worker", d.Worker)
		addField("outcome", d.Outcome)
		addField("reason", d.Reason)
		addField("needs", d.Needs)
		if d.Run != 0 {
			fields["run"] = d.Run
		}
		if d.Age != 0 {
			fields["age_ms"] = d.Age.Milliseconds()
		}
		if d.Queued != 0 {
			fields["queued_ms"] = d.Queued.Milliseconds()
		}
		if d.Expected != 0 {
			fields["expected_ms"] = d.Expected.Milliseconds()
		}
		n.log.WithFields(fields).Info("decision")
	}
}

// requestApprovals makes the policy call through the node that is expected to get
// the answer first.
func (n *Node) requestApprovals(t *term, e dispatch.RequestAdvice, reply func(dispatch.Event)) {
	m := n.members.reservePolicyNode(n.uptime(), e.Cost, e.Urgent, e.Overdue)
	if m == nil {
		n.deps.Count("retry", "advice-busy")
		go reply(dispatch.AdviceAnswered{Step: e.Step, Asked: e.Workers, Failed: true})
		return
	}
	timeout := m.backlog(n.uptime()) + e.Cost + policyTimeoutMargin
	go n.callWithTimeout(t, timeout, func(ctx context.Context) {
		began := time.Now()
		var a worker.Approvals
		var err error
		if m.node == n.settings.Node {
			a, err = n.deps.PolicyClient.ApproveWorkers(ctx, e.Step, e.Workers)
		} else {
			a, err = n.deps.Peers.ApproveWorkers(ctx, m.address, e.Step, e.Workers)
		}
		n.deps.Observe("advice", time.Since(began))
		n.views.recordCall(serviceAdvice, err)
		if err != nil {
			n.deps.Count("retry", "advice-failed")
		}
		n.send(t.ctx, policyCallDone{node: m.node, failed: err != nil})
		reply(dispatch.AdviceAnswered{Step: e.Step, Asked: e.Workers, Approvals: a, Failed: err != nil})
	})
}

// ApproveWorkers calls the policy service on behalf of the leader, which is another node.
func (n *Node) ApproveWorkers(ctx context.Context, step workflow.StepID, workers []string) (worker.Approvals, error) {
	return n.deps.PolicyClient.ApproveWorkers(ctx, step, workers)
}
