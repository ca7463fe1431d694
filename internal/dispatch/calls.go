package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// purpose tells why a worker is called. It is the reason under which calls are counted.
type purpose string

// callPrefix begins each purpose.
const callPrefix = "call-"

const (
	callStart purpose = callPrefix + "start"
	callStop  purpose = callPrefix + "stop"
	// heartbeatFence asks a worker that has not answered this leader yet.
	heartbeatFence purpose = callPrefix + "heartbeat-fence"
	// heartbeatEnds tells a worker which of its ends are recorded.
	heartbeatEnds purpose = callPrefix + "heartbeat-ends"
	// heartbeatStopped asks whether stopped runs are gone.
	heartbeatStopped purpose = callPrefix + "heartbeat-stopped"
	// heartbeatRecheck asks a worker that has left a call unanswered.
	heartbeatRecheck purpose = callPrefix + "heartbeat-recheck"
	// heartbeatLossy is a regular heartbeat with a short wait, since answers get lost.
	heartbeatLossy purpose = callPrefix + "heartbeat-lossy"
	// heartbeatRegular extends leases and waits for ends.
	heartbeatRegular purpose = callPrefix + "heartbeat-regular"
	// heartbeatIdle watches a worker without runs.
	heartbeatIdle purpose = callPrefix + "heartbeat-idle"
)

// callCounts counts calls to workers by purpose since the last report.
type callCounts struct {
	since time.Duration
	sent  map[purpose]int
}

// countCall counts a call to a worker.
func (c *Core) countCall(p purpose) {
	c.reasons[string(p)]++
	if c.calls.sent == nil {
		c.calls.sent = map[purpose]int{}
	}
	c.calls.sent[p]++
}

// takeCallReport describes the calls since the last report and begins the next one.
func (c *Core) takeCallReport() string {
	var counts []string
	for _, p := range slices.Sorted(maps.Keys(c.calls.sent)) {
		counts = append(counts, fmt.Sprintf("%d %s", c.calls.sent[p], strings.TrimPrefix(string(p), callPrefix)))
	}
	since := c.calls.since
	c.calls = callCounts{since: c.now}
	return fmt.Sprintf("calls in %.1f s: %s", (c.now - since).Seconds(), strings.Join(counts, ", "))
}
