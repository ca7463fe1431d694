package dispatch

import (
	"fmt"
	"time"
)

// lossCause says how a run came to be lost.
type lossCause string

const (
	// lossCrash: the incarnation of its worker ended without notice.
	lossCrash lossCause = "crash"
	// lossDeparture: its worker left, or was taken away.
	lossDeparture lossCause = "departure"
	// lossLease: its lease expired while the worker was silent.
	lossLease lossCause = "lease-expired"
	// lossUnlisted: its worker goes on without it.
	lossUnlisted lossCause = "unlisted"
)

// recordCrash reports the crash of a worker under its runs.
func (c *Core) recordCrash(h *host) {
	if len(h.runs) == 0 {
		return
	}
	newest := time.Duration(0)
	for _, r := range h.runs {
		newest = max(newest, r.sentAt)
	}
	c.recordDecision(Decision{Kind: "worker-crashed", Worker: h.info.ID, Age: c.now - h.lastContact,
		Reason: fmt.Sprintf("%d runs, the newest sent %d ms before its last answer", len(h.runs), (h.lastContact - newest).Milliseconds())})
}
