package emulator

import (
	"time"
)

// logFault is what is wrong with a node's way to the log.
type logFault struct {
	down, refuse bool
	// slow multiplies times; 0 is 1.
	slow float64
	// lose and late are shares of calls.
	lose, late float64
}

func (f logFault) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * orDefault(f.slow, 1))
}

// logFaults are kept by node; the empty name stands for all.
type logFaults map[string]logFault

// of returns a node's faults with those of all nodes added.
func (f logFaults) of(node string) logFault {
	one, all := f[node], f[""]
	return logFault{
		down:   one.down || all.down,
		refuse: one.refuse || all.refuse,
		slow:   orDefault(one.slow, 1) * orDefault(all.slow, 1),
		lose:   max(one.lose, all.lose),
		late:   max(one.late, all.late),
	}
}

// change edits the faults of the nodes, or of all when none is named.
func (l *Log) change(nodes []string, edit func(*logFault)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(nodes) == 0 {
		nodes = []string{""}
	}
	for _, n := range nodes {
		f := l.faults[n]
		edit(&f)
		l.faults[n] = f
	}
}

func (l *Log) fault(node string) logFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.of(node)
}

// drawLoss decides whether an answer to the node gets lost.
func (l *Log) drawLoss(node string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < l.faults.of(node).lose
}

// Down makes the log silent for the nodes, or for all when none is named: calls
// wait until their context ends, also those that are under way.
func (l *Log) Down(on bool, nodes ...string) {
	l.change(nodes, func(f *logFault) { f.down = on })
}

// Refuse makes the log refuse calls of the nodes, or of all, at once.
func (l *Log) Refuse(on bool, nodes ...string) {
	l.change(nodes, func(f *logFault) { f.refuse = on })
}

// Slow multiplies the times of calls of the nodes, or of all; 1 is normal.
func (l *Log) Slow(factor float64, nodes ...string) {
	l.change(nodes, func(f *logFault) { f.slow = factor })
}

// LoseReplies loses the answers of a share (0 to 1) of the calls of the nodes,
// or of all: an append is done, and answered as unknown when the answer would
// have come.
func (l *Log) LoseReplies(share float64, nodes ...string) {
	l.change(nodes, func(f *logFault) { f.lose = share })
}

// LateReplies puts a share (0 to 1) of the appends of the nodes, or of all, off
// by 1 to 6 s: they are answered as unknown at once, and done then if their
// conditions still hold.
func (l *Log) LateReplies(share float64, nodes ...string) {
	l.change(nodes, func(f *logFault) { f.late = share })
}

// Calm ends all faults.
func (l *Log) Calm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
}
