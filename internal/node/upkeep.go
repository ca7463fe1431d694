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

// maintenancePartition stores the progress of maintenance waves and the home pools
// of moved machines.
var maintenancePartition = store.Partition{Topic: "keyed.mimosaspool-upkeep"}

// Keys of the records in maintenancePartition.
const (
	maintenanceLeaderKey = "holder"
	waveKeyPrefix        = "wave/"
	homeKeyPrefix        = "home/"
)

const (
	// machineOrderWindow is how long a leader may give machine orders after it sent
	// its last confirmed record. It is shorter than the silence after which other
	// nodes claim leadership.
	machineOrderWindow = 1200 * time.Millisecond
	// machineOrderTimeout bounds the answer to a machine order, machineListTimeout a
	// read of the list of machines.
	machineOrderTimeout = 2500 * time.Millisecond
	machineListTimeout  = 3 * time.Second
	// maintenanceRetryDelay is the pause before a failed read or append is retried.
	maintenanceRetryDelay = 250 * time.Millisecond
)

// machineOutcomes are the log names of the answers to machine orders.
var machineOutcomes = [...]string{"ok", "unanswered", "refused", "fenced", "busy", "wrong"}

// requestedWave is a maintenance wave from the operators' feed.
type requestedWave struct {
	wave worker.MaintenanceWave
	// firstSeen is when this node first saw the wave.
	firstSeen time.Duration
}

// maintenanceController manages machines during a term. It belongs to the control
// goroutine.
type maintenanceController struct {
	core *upkeep.Core
	// events are for the core's next step, dispatchEvents for the dispatcher's.
	events           []upkeep.Event
	dispatchEvents   []dispatch.Event
	catalog          *workflow.Catalog
	recorder         *maintenanceRecorder
	reportedCounters map[string]int64
	// suspended is how long the host has been suspended, resumedAt when that last
	// increased.
	suspended, resumedAt time.Duration
}

// suspendedTime returns how long the host has been suspended, plus a constant.
func (n *Node) suspendedTime() time.Duration {
	if n.deps.BootTime == nil {
		return 0
	}
	return n.deps.BootTime() - n.uptime()
}

// suspendTolerance is the maximum difference between two clock readings that is not
// taken as a suspend.
const suspendTolerance = 50 * time.Millisecond

// machineOrdersUntil returns until when machine orders may be given. A confirmation
// from before the host was suspended no longer counts.
func (n *Node) machineOrdersUntil(d *maintenanceController) time.Duration {
	if a := n.suspendedTime(); a > d.suspended+suspendTolerance {
		d.suspended, d.resumedAt = a, n.uptime()
	}
	confirmed := n.leadership.ConfirmedUntil() - tenure.DefaultTiming().Confidence
	if confirmed <= d.resumedAt {
		return 0
	}
	return confirmed + machineOrderWindow
}

// Events of the control goroutine that concern machines.
type (
	maintenanceEvent struct {
		token int64
		event upkeep.Event
	}
	// maintenanceStateRead carries what previous leaders have recorded.
	maintenanceStateRead struct {
		token           int64
		records, status []store.StoredRecord
	}
)

// updateWave stores an operators' wave under its record's key, or removes it if w
// is nil.
func (n *Node) updateWave(key string, w *worker.MaintenanceWave) {
	if n.waves == nil {
		n.waves = map[string]requestedWave{}
	}
	old, known := n.waves[key]
	if w == nil {
		if known {
			delete(n.waves, key)
			n.queueMaintenanceEvent(upkeep.WaveCancelled{Number: old.wave.Number})
		}
		return
	}
	since := n.uptime()
	if known {
		since = old.firstSeen
	}
	n.waves[key] = requestedWave{*w, since}
	n.queueMaintenanceEvent(upkeep.WaveRequested{Wave: *w, KnownSince: since})
}

func (n *Node) queueMaintenanceEvent(ev upkeep.Event) {
	if n.term != nil && n.term.maintenance != nil {
		n.term.maintenance.events = append(n.term.maintenance.events, ev)
	}
}

// handleMaintenanceEvent handles an event that concerns machines.
func (n *Node) handleMaintenanceEvent(ev any) {
	t := n.term
	if t == nil || t.maintenance == nil {
		return
	}
	switch ev := ev.(type) {
	case maintenanceEvent:
		if ev.token != t.token {
			return
		}
		if _, ok := ev.event.(upkeep.MachinesListed); ok {
			n.queueMaintenanceEvent(upkeep.WorkersListed{Workers: t.sortedWorkers()})
		}
		n.queueMaintenanceEvent(ev.event)
	case maintenanceStateRead:
		if ev.token == t.token {
			n.queueMaintenanceEvent(n.decodeMaintenanceState(ev))
		}
	}
}

// decodeMaintenanceState decodes what previous leaders have recorded.
func (n *Node) decodeMaintenanceState(ev maintenanceStateRead) upkeep.StateRestored {
	out := upkeep.StateRestored{HomePools: map[string]string{}}
	for _, r := range ev.records {
		var p upkeep.WaveProgress
		switch {
		case len(r.Value) == 0:
		case strings.HasPrefix(r.Key, waveKeyPrefix):
			if err := json.Unmarshal(r.Value, &p); err != nil {
				n.deps.Count("unreadable", "upkeep")
				continue
			}
			out.Progress = append(out.Progress, p)
		case strings.HasPrefix(r.Key, homeKeyPrefix):
			out.HomePools[r.Key[len(homeKeyPrefix):]] = string(r.Value)
		}
	}
	for _, w := range n.waves {
		done := n.deps.Feeds.EncodeWaveStatus(w.wave.Number, true)
		for _, r := range ev.status {
			if r.Key == done.Key && bytes.Equal(r.Value, done.Value) {
				out.Completed = append(out.Completed, w.wave.Number)
			}
		}
	}
	return out
}

// takeDispatchEvents returns and clears the controller's events for the dispatcher.
func (t *term) takeDispatchEvents() []dispatch.Event {
	if t.maintenance == nil {
		return nil
	}
	orders := t.maintenance.dispatchEvents
	t.maintenance.dispatchEvents = nil
	return orders
}

// stepMaintenance runs one step of the maintenance controller, and creates it once
// there is a wave or a standby pool.
func (n *Node) stepMaintenance(t *term) {
	cat := n.desk.catalog.Load()
	if n.deps.MachineClient == nil || cat == nil {
		return
	}
	d := t.maintenance
	if d == nil {
		if d = n.newMaintenanceController(t, cat); d == nil {
			return
		}
		t.maintenance = d
	}
	if cat != d.catalog {
		d.catalog = cat
		d.events = append(d.events, upkeep.PoolsUpdated{Pools: cat.Pools})
	}
	until := n.machineOrdersUntil(d)
	events := append(d.events, upkeep.LeadershipConfirmed{Until: until})
	d.events = nil
	facts := upkeep.DispatcherState{Evacuated: t.dispatcher.Evacuated, Idle: t.dispatcher.Idle, Shortages: func(over time.Duration) []upkeep.Shortage {
		var out []upkeep.Shortage
		for _, s := range t.dispatcher.Shortages(over) {
			out = append(out, upkeep.Shortage(s))
		}
		return out
	}}
	for _, e := range d.core.Step(n.uptime(), time.Now().UnixMilli(), facts, events...) {
		n.executeMaintenance(t, d, e, until)
	}
	for reason, now := range d.core.Counters() {
		for range now - d.reportedCounters[reason] {
			n.deps.Count("machines", reason)
		}
		d.reportedCounters[reason] = now
	}
}

// newMaintenanceController returns the controller of a term, or nil while there is
// neither a wave nor a standby pool.
func (n *Node) newMaintenanceController(t *term, cat *workflow.Catalog) *maintenanceController {
	standby := false
	for _, p := range cat.Pools {
		standby = standby || p.Standby
	}
	if len(n.waves) == 0 && !standby {
		return nil
	}
	l := n.settings.Limits
	d := &maintenanceController{recorder: &maintenanceRecorder{store: n.deps.Store, token: t.token, statusPartition: n.deps.Feeds.Status, count: n.deps.Count}, reportedCounters: map[string]int64{}, suspended: n.suspendedTime()}
	d.core = upkeep.New(upkeep.Settings{
		MachineLease: l.MachineLease, CallTimeout: machineOrderTimeout + machineOrderWindow, MaintenanceTime: l.MaintenanceTime, MoveTime: l.MoveTime,
		StopTimeout: l.StopTimeout, ListsPerSecond: l.MachineListPerSecond, OrdersPerSecond: l.MachineOrdersPerSecond,
	}, t.startedAt)
	for _, w := range n.waves {
		d.events = append(d.events, upkeep.WaveRequested{Wave: w.wave, KnownSince: w.firstSeen})
	}
	go n.loadMaintenanceState(t, d.recorder)
	return d
}

// loadMaintenanceState reads what previous leaders have recorded, after fencing them
// so that they can't record any more.
func (n *Node) loadMaintenanceState(t *term, l *maintenanceRecorder) {
	ev := maintenanceStateRead{token: t.token}
	read := func(p store.Partition) (records []store.StoredRecord, ok bool) {
		for t.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(t.ctx, 2*overallReadTimeout)
			records, _, err := store.ReadAll(ctx, n.deps.Store, p)
			cancel()
			if err == nil {
				return records, true
			}
			n.deps.Count("retry", "upkeep-read-"+errorReason(err))
			sleepContext(t.ctx, maintenanceRetryDelay)
		}
		return nil, false
	}
	if !l.append(t.ctx, maintenancePartition, []store.Record{{Key: maintenanceLeaderKey, Value: []byte(n.settings.Node)}}) {
		return
	}
	var ok bool
	if ev.records, ok = read(maintenancePartition); !ok {
		return
	}
	if ev.status, ok = read(n.deps.Feeds.Status); !ok {
		return
	}
	n.send(t.ctx, ev)
}

// errNoMachineList is returned if the platform has no list of machines.
var errNoMachineList = errors.New("node: no list of machines")

// listMachines reads the platform's list of machines.
func (n *Node) listMachines(ctx context.Context) ([]worker.Machine, error) {
	if n.deps.MachineClient == nil {
		return nil, errNoMachineList
	}
	machines, err := n.deps.MachineClient.List(ctx)
	n.views.recordCall(serviceMachines, err)
	return machines, err
}

// executeMaintenance starts an effect of the maintenance core. The result comes
// back as an event.
func (n *Node) executeMaintenance(t *term, d *maintenanceController, e upkeep.Effect, until time.Duration) {
	reply := func(ev upkeep.Event) { n.send(t.ctx, maintenanceEvent{t.token, ev}) }
	asleep := d.suspended
	lease := worker.MachineLease{Holder: n.settings.Node, Token: t.token}
	order := func(machine string, f logrus.Fields, call func(ctx context.Context) worker.MachineCode) {
		go n.callWithTimeout(t, machineOrderTimeout, func(ctx context.Context) {
			code := worker.MachineRefused
			if n.uptime() < until && n.suspendedTime() <= asleep+suspendTolerance {
				code = call(ctx)
			}
			n.log.WithFields(f).WithFields(logrus.Fields{"machine": machine, "outcome": machineOutcomes[code]}).Info("order for a machine")
			reply(upkeep.OrderAnswered{Machine: machine, Code: code})
		})
	}
	switch e := e.(type) {
	case upkeep.ListMachines:
		sent := n.uptime()
		go n.callWithTimeout(t, machineListTimeout, func(ctx context.Context) {
			machines, err := n.listMachines(ctx)
			reply(upkeep.MachinesListed{Machines: machines, RequestedAt: sent, Failed: err != nil})
		})
	case upkeep.OrderMaintenance:
		order(e.Machine, logrus.Fields{"wave": e.Wave}, func(ctx context.Context) worker.MachineCode {
			return n.deps.MachineClient.StartMaintenance(ctx, lease, e.Machine, e.Wave)
		})
	case upkeep.OrderMove:
		order(e.Machine, logrus.Fields{"pool": e.Pool}, func(ctx context.Context) worker.MachineCode {
			return n.deps.MachineClient.Move(ctx, lease, e.Machine, e.Pool)
		})
	case upkeep.Evacuate:
		d.dispatchEvents = append(d.dispatchEvents, dispatch.Evacuate{Worker: e.Worker, Deadline: e.Deadline})
	case upkeep.EndEvacuation:
		d.dispatchEvents = append(d.dispatchEvents, dispatch.EndEvacuation{Worker: e.Worker})
	case upkeep.IncarnationEnded:
		d.dispatchEvents = append(d.dispatchEvents, dispatch.IncarnationEnded{Worker: e.Worker, Born: e.Born})
	case upkeep.WriteRecord:
		records, status := n.maintenanceRecords(e)
		go func() {
			ok := d.recorder.append(t.ctx, maintenancePartition, records) && d.recorder.append(t.ctx, n.deps.Feeds.Status, status)
			reply(upkeep.RecordWritten{Number: e.Number, Failed: !ok})
		}()
	}
}

// maintenanceRecords returns the store records of an upkeep.Record effect.
func (n *Node) maintenanceRecords(e upkeep.WriteRecord) (own, status []store.Record) {
	for _, p := range e.Progress {
		value, err := json.Marshal(p)
		if err != nil {
			panic(err) // numbers and strings only
		}
		own = append(own, store.Record{Key: waveKeyPrefix + strconv.FormatInt(p.Wave, 10), Value: value})
	}
	for m, home := range e.HomePools {
		own = append(own, store.Record{Key: homeKeyPrefix + m, Value: []byte(home)})
	}
	for _, s := range e.Status {
		status = append(status, n.deps.Feeds.EncodeWaveStatus(s.Wave, s.Completed))
		n.log.WithFields(logrus.Fields{"wave": s.Wave, "completed": s.Completed}).Info("an upkeep wave's status")
	}
	return own, status
}

// maintenanceRecorder appends the controller's records under the term's token, one
// append at a time. The first record of a later term fences it.
type maintenanceRecorder struct {
	store store.Store
	token int64
	// sequences are the producer sequence numbers in maintenancePartition and in
	// statusPartition.
	sequences       [2]int64
	statusPartition store.Partition
	count           func(kind, reason string)
}

// append retries until the records are known to be written. It returns false if a
// later term has begun or the context has ended.
func (l *maintenanceRecorder) append(ctx context.Context, p store.Partition, records []store.Record) bool {
	if len(records) == 0 {
		return true
	}
	sequence := &l.sequences[0]
	if p == l.statusPartition {
		sequence = &l.sequences[1]
	}
	*sequence++
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, maxAppendTimeout)
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
		sleepContext(ctx, maintenanceRetryDelay)
	}
	return false
}
