package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// ErrCloud is the error of a list that can't be read.
var ErrCloud = errors.New("emulator: the cloud is not available")

// The rules of machines, beside those of workers.
const (
	// RuleWave: an upkeep begins while as many of its wave as may be are down.
	RuleWave Rule = "wave"
	// RuleEarlyEnd: a wave is said to be completed, and a machine that stays has
	// not begun its upkeep.
	RuleEarlyEnd Rule = "early-end"
	// RuleOne: two holders give orders for one machine under one token, too soon
	// after each other, or in a wrong order where fences aren't checked.
	RuleOne Rule = "one"
	// RuleAvail: an order ends a lasting task beyond its step's budget.
	RuleAvail Rule = "avail"
)

// CloudConfig sets the cloud up. Times and rates of 0 take their defaults.
type CloudConfig struct {
	Seed uint64
	// Latency is the time of one way (DefaultLatency).
	Latency time.Duration
	// UpkeepTime and MoveTime are how long a machine is away (2 s, 1.5 s).
	UpkeepTime, MoveTime time.Duration
	// ListsPerSecond and OrdersPerSecond bound the calls of all nodes (60).
	ListsPerSecond, OrdersPerSecond int
	// DutyLease is how long after one holder's order another may not give one
	// for the same machine (3 s).
	DutyLease time.Duration
	// Fencing refuses orders with a lower token than was seen for the machine.
	Fencing bool
	// Kinds has the kind of the machines of a pool; others are refused.
	Kinds map[string]string
	// Standby are the pools whose machines are off.
	Standby []string
}

// Cloud is the platform's machines, whose lives are the workers of a fleet. The
// fleet's lock guards it. Its methods may be called concurrently.
type Cloud struct {
	cfg      CloudConfig
	fleet    *Fleet
	random   *rand.Rand
	machines map[string]*machine
	order    []string
	waves    map[int64]*cloudWave
	calls    [2][]time.Time
	usage    map[string]int
	slow     time.Duration
	lose     float64
	down     bool
}

type machine struct {
	name  string
	cfg   WorkerConfig
	state string
	lives int
	// wave is the one that the machine is down for, done those it was down for.
	wave int64
	done map[int64]bool
	// last is the last order, and highest the highest token seen.
	last    worker.MachineLease
	lastAt  time.Time
	highest int64
}

type cloudWave struct {
	worker.MaintenanceWave
	asked, completed time.Time
}

// NewCloud returns a cloud without machines.
func NewCloud(cfg CloudConfig, f *Fleet) *Cloud {
	cfg.Latency = orDefault(cfg.Latency, DefaultLatency)
	cfg.UpkeepTime = orDefault(cfg.UpkeepTime, 2*time.Second)
	cfg.MoveTime = orDefault(cfg.MoveTime, 1500*time.Millisecond)
	cfg.ListsPerSecond = orDefault(cfg.ListsPerSecond, 60)
	cfg.OrdersPerSecond = orDefault(cfg.OrdersPerSecond, 60)
	cfg.DutyLease = orDefault(cfg.DutyLease, 3*time.Second)
	return &Cloud{cfg: cfg, fleet: f, random: rand.New(rand.NewPCG(cfg.Seed, 4)), machines: map[string]*machine{},
		waves: map[int64]*cloudWave{}, usage: map[string]int{}}
}

// Add adds a machine and starts its worker, unless its pool is on standby. The
// worker's ID is the machine's name with the number of its life.
func (c *Cloud) Add(name string, cfg WorkerConfig) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	cfg.Machine = name
	m := &machine{name: name, cfg: cfg, state: worker.MachineUp, done: map[int64]bool{}}
	c.machines[name] = m
	c.order = append(c.order, name)
	c.start(m)
}

// start begins the machine's next life.
func (c *Cloud) start(m *machine) {
	m.state, m.wave = worker.MachineUp, 0
	if slices.Contains(c.cfg.Standby, m.cfg.Pool) {
		m.cfg.ID = ""
		return
	}
	m.lives++
	m.cfg.ID = fmt.Sprintf("%s-%d", m.name, m.lives)
	m.cfg.Address = m.cfg.ID + ":1"
	c.fleet.order = append(c.fleet.order, m.cfg.ID)
	c.fleet.install(m.cfg, newLink())
}

// Ask takes in a wave.
func (c *Cloud) Ask(w worker.MaintenanceWave) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.waves[w.Number] = &cloudWave{MaintenanceWave: w, asked: time.Now()}
}

// Completed takes note that a wave is said to be completed.
func (c *Cloud) Completed(number int64) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	w := c.waves[number]
	if w == nil || !w.completed.IsZero() {
		return
	}
	w.completed = time.Now()
	for _, name := range w.Machines {
		if m := c.machines[name]; m != nil && !m.done[number] {
			c.breach(RuleEarlyEnd, name, "wave %d", number)
		}
	}
}

// Took returns how long a wave took until it was said to be completed, 0 if it wasn't.
func (c *Cloud) Took(number int64) time.Duration {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if w := c.waves[number]; w != nil && !w.completed.IsZero() {
		return w.completed.Sub(w.asked)
	}
	return 0
}

// Begun returns how many machines of the wave have begun their upkeep.
func (c *Cloud) Begun(number int64) int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	n := 0
	for _, m := range c.machines {
		if m.done[number] {
			n++
		}
	}
	return n
}

// Leave takes a machine away for good, with all that runs there.
func (c *Cloud) Leave(name string) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.disrupted = time.Now()
	if m := c.machines[name]; m != nil {
		if w := c.fleet.workers[m.cfg.ID]; w != nil {
			w.perish()
		}
		delete(c.machines, name)
	}
}

// Disturb makes calls take so much longer, loses a share of the answers (half
// of these orders are carried out), or has all calls refused.
func (c *Cloud) Disturb(slow time.Duration, lose float64, down bool) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.slow, c.lose, c.down = slow, lose, down
}

// Usage returns how many calls were made: "list", "move", "upkeep", and
// "too-many" of these beyond the rates.
func (c *Cloud) Usage(kind string) int {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.usage[kind]
}

// Pool returns the pool that a machine is in.
func (c *Cloud) Pool(name string) string {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.machines[name].cfg.Pool
}

func (c *Cloud) breach(rule Rule, machine, format string, args ...any) {
	c.fleet.judge.breaches = append(c.fleet.judge.breaches,
		Breach{Rule: rule, Worker: machine, Detail: fmt.Sprintf(format, args...), At: time.Now()})
}

// admit counts a call and reports whether it is within the rate.
func (c *Cloud) admit(kind string, class, rate int) bool {
	c.usage[kind]++
	now := time.Now()
	c.calls[class] = slices.DeleteFunc(c.calls[class], func(t time.Time) bool { return now.Sub(t) >= time.Second })
	c.calls[class] = append(c.calls[class], now)
	if len(c.calls[class]) > rate {
		c.usage["too-many"]++
		return false
	}
	return true
}

// List implements worker.MachineClient.
func (c *Cloud) List(ctx context.Context) ([]worker.Machine, error) {
	type answer struct {
		machines []worker.Machine
		err      error
	}
	a, ok := exchange(ctx, c.way(), func(send func(answer)) {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		switch {
		case !c.admit("list", 0, c.cfg.ListsPerSecond) || c.down:
			send(answer{err: ErrCloud})
		case c.random.Float64() < c.lose:
		default:
			send(answer{machines: c.list()})
		}
	})
	if !ok {
		return nil, ErrCloud
	}
	return a.machines, a.err
}

func (c *Cloud) list() []worker.Machine {
	var out []worker.Machine
	for _, name := range c.order {
		m := c.machines[name]
		if m == nil {
			continue
		}
		x := worker.Machine{Name: name, Pool: m.cfg.Pool, State: m.state, Domain: m.cfg.Domain, Labels: m.cfg.Labels,
			Capacity: m.cfg.Capacity, Worker: m.cfg.ID}
		if w := c.fleet.workers[m.cfg.ID]; m.state == worker.MachineUp && w != nil && !w.alive {
			x.State, x.Worker = worker.MachineDown, ""
		}
		out = append(out, x)
	}
	return out
}

// way is the time of a call there and back.
func (c *Cloud) way() time.Duration {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return 2*c.cfg.Latency + c.slow
}

// Move implements worker.MachineClient.
func (c *Cloud) Move(ctx context.Context, d worker.MachineLease, name, pool string) worker.MachineCode {
	return c.call(ctx, "move", func() worker.MachineCode { return c.move(d, name, pool) })
}

// StartMaintenance implements worker.MachineClient.
func (c *Cloud) StartMaintenance(ctx context.Context, d worker.MachineLease, name string, wave int64) worker.MachineCode {
	return c.call(ctx, "upkeep", func() worker.MachineCode { return c.upkeep(d, name, wave) })
}

func (c *Cloud) call(ctx context.Context, kind string, act func() worker.MachineCode) worker.MachineCode {
	code, ok := exchange(ctx, c.way(), func(send func(worker.MachineCode)) {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		if !c.admit(kind, 1, c.cfg.OrdersPerSecond) || c.down {
			send(worker.MachineRefused)
			return
		}
		if c.random.Float64() >= c.lose {
			send(act())
		} else if c.random.IntN(2) == 0 {
			act()
		}
	})
	if !ok {
		return worker.MachineUnanswered
	}
	return code
}

// checkDuty judges who gives an order, and checks the fence.
func (c *Cloud) checkDuty(m *machine, d worker.MachineLease) bool {
	other := m.last.Holder != "" && (m.last.Holder != d.Holder || m.last.Token != d.Token)
	switch {
	case other && m.last.Holder != d.Holder && m.last.Token == d.Token:
		c.breach(RuleOne, m.name, "%s and %s both have token %d", m.last.Holder, d.Holder, d.Token)
	case other && time.Since(m.lastAt) < c.cfg.DutyLease:
		c.breach(RuleOne, m.name, "%s follows %s after %v", d.Holder, m.last.Holder, time.Since(m.lastAt))
	case d.Token < m.highest && !c.cfg.Fencing:
		c.breach(RuleOne, m.name, "token %d after %d", d.Token, m.highest)
	}
	if d.Token < m.highest && c.cfg.Fencing {
		return false
	}
	m.last, m.lastAt, m.highest = d, time.Now(), max(m.highest, d.Token)
	return true
}

func (c *Cloud) move(d worker.MachineLease, name, pool string) worker.MachineCode {
	m := c.machines[name]
	switch {
	case m == nil:
		return worker.MachineInvalid
	case !c.checkDuty(m, d):
		return worker.MachineFenced
	case len(m.cfg.Labels) == 0 || c.cfg.Kinds[pool] != m.cfg.Labels[0]:
		return worker.MachineInvalid
	case m.cfg.Pool == pool:
		return worker.MachineOK
	case m.state != worker.MachineUp:
		return worker.MachineBusy
	}
	m.cfg.Pool = pool
	c.take(m, worker.MachineMoving, c.cfg.MoveTime)
	return worker.MachineOK
}

func (c *Cloud) upkeep(d worker.MachineLease, name string, number int64) worker.MachineCode {
	m, w := c.machines[name], c.waves[number]
	switch {
	case m == nil:
		return worker.MachineInvalid
	case !c.checkDuty(m, d):
		return worker.MachineFenced
	case w == nil || !slices.Contains(w.Machines, name):
		return worker.MachineInvalid
	case m.done[number]:
		return worker.MachineOK
	case m.state != worker.MachineUp:
		return worker.MachineBusy
	}
	down := 0
	for _, o := range c.machines {
		if o.wave == number {
			down++
		}
	}
	if down >= w.MaxUnavailable {
		c.breach(RuleWave, name, "%d machines of wave %d are down", down, number)
	}
	m.done[number], m.wave = true, number
	c.take(m, worker.MachineMaintenance, c.cfg.UpkeepTime)
	return worker.MachineOK
}

// take ends all that runs on the machine, which is back after a time.
func (c *Cloud) take(m *machine, state string, away time.Duration) {
	m.state = state
	if w := c.fleet.workers[m.cfg.ID]; w != nil && w.alive {
		for _, r := range w.sorted() {
			c.fleet.judge.disrupts(r)
		}
		w.left = true
		w.perish()
	}
	time.AfterFunc(away, func() {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		if c.machines[m.name] == m {
			c.start(m)
		}
	})
}

var _ worker.MachineClient = (*Cloud)(nil)
