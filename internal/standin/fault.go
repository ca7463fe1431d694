package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// FaultKind is a kind of fault that a stand-in can be ordered to show.
type FaultKind string

// The kinds of faults; docs/design/standin.md describes each.
const (
	LogOut          FaultKind = "log-out"
	LogSlow         FaultKind = "log-slow"
	LogLostReply    FaultKind = "log-lost-reply"
	HostsFrozen     FaultKind = "hosts-frozen"
	HostLeaving     FaultKind = "host-leaving"
	HostGone        FaultKind = "host-gone"
	WorkerRestart   FaultKind = "worker-restart"
	WorkerReplace   FaultKind = "worker-replace"
	WorkerPause     FaultKind = "worker-pause"
	WorkerBlackHole FaultKind = "worker-black-hole"
	WorkerLostReply FaultKind = "worker-lost-reply"
	TaskUsage       FaultKind = "task-usage"
	TaskRunTime     FaultKind = "task-run-time"
	RunnerSlow      FaultKind = "runner-slow"
	RunnerRefuse    FaultKind = "runner-refuse"
	RunnerSilent    FaultKind = "runner-silent"
	LinkCut         FaultKind = "link-cut"
	LinkSilent      FaultKind = "link-silent"
	LinkDelay       FaultKind = "link-delay"
	LinkRefuse      FaultKind = "link-refuse"
)

// faultKinds holds the known kinds and whether each happens at one moment
// instead of lasting.
var faultKinds = map[FaultKind]bool{
	LogOut: false, LogSlow: false, LogLostReply: false,
	HostsFrozen: false, HostLeaving: false, HostGone: false,
	WorkerRestart: true, WorkerReplace: true, WorkerPause: false, WorkerBlackHole: false, WorkerLostReply: false,
	TaskUsage: false, TaskRunTime: false,
	RunnerSlow: false, RunnerRefuse: false, RunnerSilent: true,
	LinkCut: false, LinkSilent: true, LinkDelay: false, LinkRefuse: false,
}

// Fault is an ordered fault. Target, From and To are names; one that ends in *
// stands for all names that begin so, and an empty one for all.
type Fault struct {
	ID     int       `json:"id"`
	Kind   FaultKind `json:"kind"`
	Target string    `json:"target,omitempty"`
	// From and To name the two ends of links.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
	// Value is milliseconds for delays, percent for shares and factors.
	Value int64 `json:"value,omitempty"`
	// DurationMs is how long the fault lasts; 0 is until it is cleared.
	DurationMs int64     `json:"duration_ms,omitempty"`
	Began      time.Time `json:"began"`
	Cleared    bool      `json:"cleared,omitempty"`
}

// InvalidFaultError tells why a fault can't be ordered.
type InvalidFaultError struct{ Reason string }

func (e *InvalidFaultError) Error() string { return "invalid fault: " + e.Reason }

func (f Fault) validate() error {
	if _, ok := faultKinds[f.Kind]; !ok {
		return &InvalidFaultError{fmt.Sprintf("unknown kind %q", f.Kind)}
	}
	if f.Value < 0 || f.DurationMs < 0 {
		return &InvalidFaultError{"value and duration_ms are at least 0"}
	}
	return nil
}

// active reports whether f shows at the given time.
func (f Fault) active(now time.Time) bool {
	if f.Cleared || faultKinds[f.Kind] {
		return false
	}
	return f.DurationMs == 0 || now.Before(f.Began.Add(f.duration()))
}

func (f Fault) duration() time.Duration { return time.Duration(f.DurationMs) * time.Millisecond }

// matches reports whether the pattern stands for any of the names.
func matches(pattern string, names ...string) bool {
	prefix, wild := strings.CutSuffix(pattern, "*")
	for _, n := range names {
		if pattern == "" || n == pattern || wild && strings.HasPrefix(n, prefix) {
			return true
		}
	}
	return false
}

// Faults holds the ordered faults. Its methods may be called concurrently.
type Faults struct {
	mu   sync.RWMutex
	list []Fault
	// changed is closed and replaced at each order.
	changed chan struct{}
}

// NewFaults returns an empty record of faults.
func NewFaults() *Faults { return &Faults{changed: make(chan struct{})} }

// Order adds a fault that begins now and returns it with its number.
func (f *Faults) Order(x Fault) (Fault, error) {
	if err := x.validate(); err != nil {
		return Fault{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	x.ID, x.Began, x.Cleared = len(f.list)+1, time.Now(), false
	f.list = append(f.list, x)
	f.signal()
	return x, nil
}

// Clear ends the fault with the given number, or all for 0.
func (f *Faults) Clear(id int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.list {
		if id == 0 || f.list[i].ID == id {
			f.list[i].Cleared = true
		}
	}
	f.signal()
}

func (f *Faults) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// List returns all faults ordered so far.
func (f *Faults) List() []Fault {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return append([]Fault{}, f.list...)
}

// On returns the newest active fault of a kind that concerns one of the names.
func (f *Faults) On(kind FaultKind, names ...string) (Fault, bool) {
	return f.find(func(x Fault) bool { return x.Kind == kind && matches(x.Target, names...) })
}

// OnLink returns the newest active fault of a kind on the link between two names.
func (f *Faults) OnLink(kind FaultKind, from, to string) (Fault, bool) {
	return f.find(func(x Fault) bool { return x.Kind == kind && matches(x.From, from) && matches(x.To, to) })
}

func (f *Faults) find(want func(Fault) bool) (Fault, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := time.Now()
	for i := len(f.list) - 1; i >= 0; i-- {
		if x := f.list[i]; x.active(now) && want(x) {
			return x, true
		}
	}
	return Fault{}, false
}

// Wait returns when no fault of the kind concerns the target any more. It
// reports false when done is closed first.
func (f *Faults) Wait(done <-chan struct{}, kind FaultKind, target string) bool {
	for {
		f.mu.RLock()
		changed := f.changed
		f.mu.RUnlock()
		x, on := f.On(kind, target)
		if !on {
			return true
		}
		var over <-chan time.Time
		if x.DurationMs > 0 {
			over = time.After(time.Until(x.Began.Add(x.duration())))
		}
		select {
		case <-done:
			return false
		case <-changed:
		case <-over:
		}
	}
}
