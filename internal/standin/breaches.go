package standin

import (
	"sync"
	"time"
)

// Promise names a promise whose breach a stand-in can see.
type Promise string

// The promises that stand-ins watch.
const (
	PromiseCapacity   Promise = "capacity"
	PromiseOnePlace   Promise = "one-place"
	PromiseSlots      Promise = "slots"
	PromiseConns      Promise = "connections"
	PromiseAtMostOnce Promise = "at-most-once"
	PromiseLeaving    Promise = "leaving"
	PromiseGraceful   Promise = "graceful"
)

// Breach is a promise that the system broke, as seen from outside.
type Breach struct {
	Time    time.Time `json:"time"`
	Promise Promise   `json:"promise"`
	Subject string    `json:"subject"`
	Detail  string    `json:"detail"`
}

// Breaches records breaches. Its methods may be called concurrently.
type Breaches struct {
	mu   sync.Mutex
	list []Breach
}

// Record adds one breach.
func (b *Breaches) Record(p Promise, subject, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, Breach{Time: time.Now(), Promise: p, Subject: subject, Detail: detail})
}

// List returns all breaches so far.
func (b *Breaches) List() []Breach {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Breach{}, b.list...)
}
