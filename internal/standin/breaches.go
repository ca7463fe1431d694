package standin

import "sync"

// Breach is a promise that the system broke, as seen from outside.
type Breach struct {
	Promise string `json:"promise"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Breaches records breaches. Its methods may be called concurrently.
type Breaches struct {
	mu   sync.Mutex
	list []Breach
	// running holds the live attempts of each task, with their workers.
	running map[string]map[uint64]string
}

// NewBreaches returns an empty record.
func NewBreaches() *Breaches { return &Breaches{running: map[string]map[uint64]string{}} }

// Record adds one breach.
func (b *Breaches) Record(x Breach) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, x)
}

// List returns all breaches so far.
func (b *Breaches) List() []Breach {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Breach{}, b.list...)
}

func (b *Breaches) started(task string, attempt uint64, worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[task] == nil {
		b.running[task] = map[uint64]string{}
	}
	b.running[task][attempt] = worker
	if len(b.running[task]) > 1 {
		b.list = append(b.list, Breach{Promise: "one-place", Subject: task, Detail: worker})
	}
}

func (b *Breaches) stopped(task string, attempt uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running[task], attempt)
}
