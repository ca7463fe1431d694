package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

// A refused connection doesn't tell whether a worker has ended: a firewall or a full
// queue of connections refuses it as well while the worker runs on. The platform's list
// of machines tells, as it names the worker that each machine runs. Until it does, the
// worker's runs hold their leases.

// The delay between two inquiries about a worker doubles from minInquiryDelay to
// maxInquiryDelay while the list says that the worker runs. All inquiries are at least
// minInquiryDelay apart, since the platform bounds how often the list is read.
const (
	minInquiryDelay = 500 * time.Millisecond
	maxInquiryDelay = 2 * time.Second
)

// ListMachines asks for the platform's list of machines. Its result is MachinesListed.
type ListMachines struct{}

// MachinesListed is the result of a ListMachines.
type MachinesListed struct {
	Machines []worker.Machine
	SentAt   time.Duration
	Failed   bool
}

func (ListMachines) effect()  {}
func (MachinesListed) event() {}

// inquire asks for the list of machines while there are workers that refuse connections
// and that may have runs.
func (c *Core) inquire() {
	if c.inquiryInFlight || c.now < c.nextInquiry {
		return
	}
	due := false
	for _, h := range c.sortedHosts {
		if h.refusedSince > 0 && h.info.Machine != "" && (h.registered || h.registering) && c.now >= h.nextInquiry {
			due = true
			h.inquiryDelay = min(max(2*h.inquiryDelay, minInquiryDelay), maxInquiryDelay)
			h.nextInquiry = c.now + h.inquiryDelay
		}
	}
	if due {
		c.inquiryInFlight, c.nextInquiry = true, c.now+minInquiryDelay
		c.reasons["machines-listed"]++
		c.emit(ListMachines{})
	}
}

// machinesListed ends the incarnations that refuse connections and that, by the list, are
// no longer there.
func (c *Core) machinesListed(ev MachinesListed) {
	c.inquiryInFlight = false
	if ev.Failed {
		c.reasons["machines-unanswered"]++
		return
	}
	byName := make(map[string]*worker.Machine, len(ev.Machines))
	byWorker := make(map[string]*worker.Machine, len(ev.Machines))
	for i := range ev.Machines {
		m := &ev.Machines[i]
		byName[m.Name] = m
		if m.Worker != "" {
			byWorker[m.Worker] = m
		}
	}
	for _, h := range slices.Clone(c.sortedHosts) { // which is sorted anew when one ends
		m := byWorker[h.info.ID]
		if m == nil {
			m = byName[h.info.Machine]
		}
		if m == nil || h.refusedSince == 0 || h.refusedSince > ev.SentAt {
			continue
		}
		if reason := goneReason(m, h.info.ID); reason != "" {
			c.endIncarnation(h, lossCrash, reason)
		} else if m.Worker == h.info.ID {
			// If it has crashed, then later than this.
			h.refusedSince = ev.SentAt
			h.info.Machine = m.Name
		}
	}
}

// goneReason says why the worker can't run on its machine any more, or "" if it may.
func goneReason(m *worker.Machine, id string) string {
	switch {
	case m.Worker == id:
		return ""
	case m.Worker != "":
		return "its machine runs another worker"
	case m.State == worker.MachineDown, m.State == worker.MachineMoving, m.State == worker.MachineMaintenance:
		return "its machine is " + m.State
	}
	return ""
}
