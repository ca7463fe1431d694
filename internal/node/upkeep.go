package node

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/dispatch"
	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
	"github.com/mimosaspool/mimosaspool/internal/upkeep"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// upkeepPartition keeps how far waves are, and where moved machines belong.
var upkeepPartition = store.Partition{Topic: "keyed.mimosaspool-upkeep"}

// The keys of its records.
const (
	dutyKey  = "holder"
	waveKey  = "wave/"
	homesKey = "home/"
)

const (
	// dutyConfidence is how long after its last confirmed record was sent a
	// holder may give orders for machines. It is below the silence after which
	// the others claim.
	dutyConfidence = 1200 * time.Millisecond
	// machineTimeout bounds the answer to an order for a machine, listTimeout a
	// reading of their list.
	machineTimeout = 2500 * time.Millisecond
	listTimeout    = 3 * time.Second
	// dutyRetry is the pause before what failed is tried again.
	dutyRetry = 250 * time.Millisecond
)

// machineOutcomes names the answers to orders for machines.
var machineOutcomes = [...]string{"ok", "unanswered", "refused", "fenced", "busy", "wrong"}

// askedWave is a wave in the operators' feed.
type askedWave struct {
	wave worker.MaintenanceWave
	// since is when this node first knew it.
	since time.Duration
}

// duty is what a term has to do with machines. It belongs to the control goroutine.
type duty struct {
	core *upkeep.Core
	// events are for its next step, orders for the dispatcher's.
	events  []upkeep.Event
	orders  []dispatch.Event
	catalog *workflow.Catalog
	ledger  *ledger
	counted map[string]int64
	// asleep is how long the host has been suspended, wokeAt when that was last
	// seen to have grown.
	asleep, wokeAt time.Duration
}

// asleep returns how long the host has been suspended, but for a constant.
func (n *Node) asleep() time.Duration {
	if n.ports.BootTime == nil {
		return 0
	}
	return n.ports.BootTime() - n.now()
}

// sleepSlack is by how much two readings of clocks may differ.
const sleepSlack = 50 * time.Millisecond

// dutyUntil returns until when orders for machines may be given. What was
// confirmed before the host was suspended counts no more.
func (n *Node) dutyUntil(d *duty) time.Duration {
	if a := n.asleep(); a > d.asleep+sleepSlack {
		d.asleep, d.wokeAt = a, n.now()
	}
	confirmed := n.tenure.ConfirmedUntil() - tenure.DefaultTiming().Confidence
	if confirmed <= d.wokeAt {
		return 0
	}
	return confirmed + dutyConfidence
}

// The events of the control goroutine that have to do with machines.
type (
	upkeepEvent struct {
		token int64
		event upkeep.Event
	}
	// dutyRead brings what former holders have recorded.
	dutyRead struct {
		token           int64
		records, status []store.StoredRecord
	}
)

// keepWave keeps an operators' wave by its record's key; nil if it was taken back.
func (n *Node) keepWave(key string, w *worker.MaintenanceWave) {
	if n.waves == nil {
		n.waves = map[string]askedWave{}
	}
	old, known := n.waves[key]
	if w == nil {
		if known {
			delete(n.waves, key)
			n.tellDuty(upkeep.WaveCancelled{Number: old.wave.Number})
		}
		return
	}
	since := n.now()
	if known {
		since = old.since
	}
	n.waves[key] = askedWave{*w, since}
	n.tellDuty(upkeep.WaveRequested{Wave: *w, KnownSince: since})
}

func (n *Node) tellDuty(ev upkeep.Event) {
	if n.term != nil && n.term.duty != nil {
		n.term.duty.events = append(n.term.duty.events, ev)
	}
}

// takeDuty takes in an event that has to do with machines.
func (n *Node) takeDuty(ev any) {
	t := n.term
	if t == nil || t.duty == nil {
		return
	}
	switch ev := ev.(type) {
	case upkeepEvent:
		if ev.token != t.token {
			return
		}
		if _, ok := ev.event.(upkeep.MachinesListed); ok {
			n.tellDuty(upkeep.WorkersListed{Workers: t.workers()})
		}
		n.tellDuty(ev.event)
	case dutyRead:
		if ev.token == t.token {
			n.tellDuty(n.restored(ev))
		}
	}
}

// restored reads what former holders have recorded.
func (n *Node) restored(ev dutyRead) upkeep.StateRestored {
	out := upkeep.StateRestored{HomePools: map[string]string{}}
	for _, r := range ev.records {
		var p upkeep.WaveProgress
		switch {
		case len(r.Value) == 0:
		case strings.HasPrefix(r.Key, waveKey):
			if err := json.Unmarshal(r.Value, &p); err != nil {
				n.ports.Count("unreadable", "upkeep")
				continue
			}
			out.Progress = append(out.Progress, p)
		case strings.HasPrefix(r.Key, homesKey):
			out.HomePools[r.Key[len(homesKey):]] = string(r.Value)
		}
	}
	for _, w := range n.waves {
		done := n.ports.Feeds.WaveStatus(w.wave.Number, true)
		for _, r := range ev.status {
			if r.Key == done.Key && bytes.Equal(r.Value, done.Value) {
				out.Completed = append(out.Completed, w.wave.Number)
			}
		}
	}
	return out
}

// takeOrders returns what the duty has the dispatcher do.
func (t *term) takeOrders() []dispatch.Event {
	if t.duty == nil {
		return nil
	}
	orders := t.duty.orders
	t.duty.orders = nil
	return orders
}

// tendMachines lets the duty take a step, from when there is something to look after.
func (n *Node) tendMachines(t *term) {
	cat := n.desk.catalog.Load()
	if n.ports.Machines == nil || cat == nil {
		return
	}
	d := t.duty
	if d == nil {
		if d = n.newDuty(t, cat); d == nil {
			return
		}
		t.duty = d
	}
	if cat != d.catalog {
		d.catalog = cat
		d.events = append(d.events, upkeep.PoolsUpdated{Pools: cat.Pools})
	}
	until := n.dutyUntil(d)
	events := append(d.events, upkeep.LeadershipConfirmed{Until: until})
	d.events = nil
	facts := upkeep.DispatcherState{Evacuated: t.core.Evacuated, Idle: t.core.Idle, Shortages: func(over time.Duration) []upkeep.Shortage {
		var out []upkeep.Shortage
		for _, s := range t.core.Shortages(over) {
			out = append(out, upkeep.Shortage(s))
		}
		return out
	}}
	for _, e := range d.core.Step(n.now(), time.Now().UnixMilli(), facts, events...) {
		n.carryOutDuty(t, d, e, until)
	}
	for reason, now := range d.core.Counters() {
		for range now - d.counted[reason] {
			n.ports.Count("machines", reason)
		}
		d.counted[reason] = now
	}
}

// newDuty returns the duty of a term, or nil while there is nothing to look after.
func (n *Node) newDuty(t *term, cat *workflow.Catalog) *duty {
	standby := false
	for _, p := range cat.Pools {
		standby = standby || p.Standby
	}
	if len(n.waves) == 0 && !standby {
		return nil
	}
	l := n.set.Limits
	d := &duty{ledger: &ledger{store: n.ports.Store, token: t.token, status: n.ports.Feeds.Status, count: n.ports.Count}, counted: map[string]int64{}, asleep: n.asleep()}
	d.core = upkeep.New(upkeep.Settings{
		MachineLease: l.DutyLease, CallTimeout: machineTimeout + dutyConfidence, MaintenanceTime: l.UpkeepTime, MoveTime: l.MoveTime,
		StopTimeout: l.StopTimeout, ListsPerSecond: l.MachineListPerSecond, OrdersPerSecond: l.MachineOrdersPerSecond,
	}, t.began)
	for _, w := range n.waves {
		d.events = append(d.events, upkeep.WaveRequested{Wave: w.wave, KnownSince: w.since})
	}
	go n.readDuty(t, d.ledger)
	return d
}

// readDuty reads what former holders have recorded, after they can't record any more.
func (n *Node) readDuty(t *term, l *ledger) {
	ev := dutyRead{token: t.token}
	read := func(p store.Partition) (records []store.StoredRecord, ok bool) {
		for t.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(t.ctx, 2*followTimeout)
			records, _, err := store.ReadAll(ctx, n.ports.Store, p)
			cancel()
			if err == nil {
				return records, true
			}
			n.ports.Count("retry", "upkeep-read-"+errorReason(err))
			pauseFor(t.ctx, dutyRetry)
		}
		return nil, false
	}
	if !l.append(t.ctx, upkeepPartition, []store.Record{{Key: dutyKey, Value: []byte(n.set.Node)}}) {
		return
	}
	var ok bool
	if ev.records, ok = read(upkeepPartition); !ok {
		return
	}
	if ev.status, ok = read(n.ports.Feeds.Status); !ok {
		return
	}
	n.send(t.ctx, ev)
}

// carryOutDuty starts what the duty wants done; the end comes back as an event.
func (n *Node) carryOutDuty(t *term, d *duty, e upkeep.Effect, until time.Duration) {
	back := func(ev upkeep.Event) { n.send(t.ctx, upkeepEvent{t.token, ev}) }
	asleep := d.asleep
	right := worker.MachineLease{Holder: n.set.Node, Token: t.token}
	order := func(machine string, f logrus.Fields, give func(ctx context.Context) worker.MachineCode) {
		go n.bounded(t, machineTimeout, func(ctx context.Context) {
			code := worker.MachineRefused
			if n.now() < until && n.asleep() <= asleep+sleepSlack {
				code = give(ctx)
			}
			n.log.WithFields(f).WithFields(logrus.Fields{"machine": machine, "outcome": machineOutcomes[code]}).Info("order for a machine")
			back(upkeep.OrderAnswered{Machine: machine, Code: code})
		})
	}
	switch e := e.(type) {
	case upkeep.ListMachines:
		sent := n.now()
		go n.bounded(t, listTimeout, func(ctx context.Context) {
			machines, err := n.ports.Machines.List(ctx)
			n.views.called(serviceMachines, err)
			back(upkeep.MachinesListed{Machines: machines, RequestedAt: sent, Failed: err != nil})
		})
	case upkeep.OrderMaintenance:
		order(e.Machine, logrus.Fields{"wave": e.Wave}, func(ctx context.Context) worker.MachineCode {
			return n.ports.Machines.StartMaintenance(ctx, right, e.Machine, e.Wave)
		})
	case upkeep.OrderMove:
		order(e.Machine, logrus.Fields{"pool": e.Pool}, func(ctx context.Context) worker.MachineCode {
			return n.ports.Machines.Move(ctx, right, e.Machine, e.Pool)
		})
	case upkeep.Evacuate:
		d.orders = append(d.orders, dispatch.Evacuate{Worker: e.Worker, Deadline: e.Deadline})
	case upkeep.EndEvacuation:
		d.orders = append(d.orders, dispatch.EndEvacuation{Worker: e.Worker})
	case upkeep.IncarnationEnded:
		d.orders = append(d.orders, dispatch.IncarnationEnded{Worker: e.Worker, Born: e.Born})
	case upkeep.WriteRecord:
		records, status := n.dutyRecords(e)
		go func() {
			ok := d.ledger.append(t.ctx, upkeepPartition, records) && d.ledger.append(t.ctx, n.ports.Feeds.Status, status)
			back(upkeep.RecordWritten{Number: e.Number, Failed: !ok})
		}()
	}
}

// dutyRecords returns the records of what the duty wants recorded.
func (n *Node) dutyRecords(e upkeep.WriteRecord) (own, status []store.Record) {
	for _, p := range e.Progress {
		value, err := json.Marshal(p)
		if err != nil {
			panic(err) // numbers and strings only
		}
		own = append(own, store.Record{Key: waveKey + strconv.FormatInt(p.Wave, 10), Value: value})
	}
	for m, home := range e.HomePools {
		own = append(own, store.Record{Key: homesKey + m, Value: []byte(home)})
	}
	for _, s := range e.Status {
		status = append(status, n.ports.Feeds.WaveStatus(s.Wave, s.Completed))
		n.log.WithFields(logrus.Fields{"wave": s.Wave, "completed": s.Completed}).Info("an upkeep wave's status")
	}
	return own, status
}

// ledger writes the duty's records under the term's token, one append at a
// time; a later term's first record ends it.
type ledger struct {
	store store.Store
	token int64
	// sequences are of the duty's own partition and of the status feed.
	sequences [2]int64
	status    store.Partition
	count     func(kind, reason string)
}

// append tries until the records are known to be written. It reports false when
// a later term has come or the context has ended.
func (l *ledger) append(ctx context.Context, p store.Partition, records []store.Record) bool {
	if len(records) == 0 {
		return true
	}
	sequence := &l.sequences[0]
	if p == l.status {
		sequence = &l.sequences[1]
	}
	*sequence++
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, mostPatience)
		_, err := l.store.Append(callCtx, p, records, store.AppendOptions{Producer: &store.Producer{Name: producerName, Epoch: l.token, Sequence: *sequence}})
		cancel()
		var seq *store.SequenceError
		switch {
		case err == nil, errors.As(err, &seq) && seq.Expected > *sequence:
			return true
		case errors.Is(err, store.ErrFenced):
			return false
		}
		l.count("retry", "upkeep-"+errorReason(err))
		pauseFor(ctx, dutyRetry)
	}
	return false
}
