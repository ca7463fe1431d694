package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/standin"
)

// longestWait bounds the waiting times that histograms hold, in microseconds.
const longestWait = int64(10 * time.Minute / time.Microsecond)

// waits is a histogram of waiting times.
type waits struct{ h *hdrhistogram.Histogram }

func newWaits() waits { return waits{hdrhistogram.New(1, longestWait, 3)} }

func (w waits) add(d time.Duration) { _ = w.h.RecordValue(max(1, d.Microseconds())) }

func (w waits) String() string {
	if w.h.TotalCount() == 0 {
		return "none"
	}
	at := func(q float64) string { return fmt.Sprintf("%.1f ms", float64(w.h.ValueAtQuantile(q))/1000) }
	return fmt.Sprintf("p50 %s, p99 %s, p999 %s (%d)", at(50), at(99), at(99.9), w.h.TotalCount())
}

// requestWaits measures from sending to the start in a runner.
func requestWaits(results []result, ran []standin.Request) waits {
	began := map[string]time.Time{}
	for _, q := range ran {
		if _, again := began[q.ID]; !again {
			began[q.ID] = q.Time
		}
	}
	w := newWaits()
	for _, r := range results {
		if at, ok := began[r.id]; ok {
			w.add(at.Sub(r.sent))
		}
	}
	return w
}

// taskWaits measures from a workload's declaration to the first start of each
// of its tasks.
func taskWaits(declared map[string]time.Time, starts []standin.Start) waits {
	w := newWaits()
	seen := map[string]bool{}
	for _, s := range starts {
		at, ok := declared[configuration.WorkloadOf(s.Task)]
		if ok && !seen[s.Task] {
			seen[s.Task] = true
			w.add(s.Time.Sub(at))
		}
	}
	return w
}

// packing sums up how much of the workers was held, over samples.
type packing struct {
	held, capacity [3]float64
	samples        int
	peak           [3]float64
}

func (p *packing) add(workers []standin.WorkerUse) {
	var held, capacity [3]float64
	for _, w := range workers {
		for i, v := range []int64{w.Held.GetMilliCpu(), w.Held.GetMemoryMib(), w.Held.GetAccelerators()} {
			held[i] += float64(v)
		}
		for i, v := range []int64{w.Capacity.GetMilliCpu(), w.Capacity.GetMemoryMib(), w.Capacity.GetAccelerators()} {
			capacity[i] += float64(v)
		}
	}
	for i := range held {
		p.held[i] += held[i]
		p.capacity[i] += capacity[i]
		p.peak[i] = max(p.peak[i], held[i]/capacity[i])
	}
	p.samples++
}

func (p *packing) String() string {
	if p.samples == 0 {
		return "not sampled"
	}
	var parts []string
	for i, name := range []string{"processors", "memory", "accelerators"} {
		parts = append(parts, fmt.Sprintf("%s %.0f%% (peak %.0f%%)", name, 100*p.held[i]/p.capacity[i], 100*p.peak[i]))
	}
	return strings.Join(parts, ", ")
}

// controlCost sums up the cost of deciding.
func controlCost(s seen, d time.Duration) string {
	var writes, bytes, cross int64
	for _, w := range s.workers {
		writes += w.Writes
	}
	for _, l := range s.links {
		bytes += l.Bytes
		if from, to := domainOf(l.From), domainOf(l.To); from != "" && to != "" && from != to {
			cross += l.Bytes
		}
	}
	return fmt.Sprintf("%d worker writes, %d log reads, %d appends (%d bytes, %d refused), %d bytes on links (%d across regions), %.0f bytes/s",
		writes, s.log.Reads, s.log.Appends, s.log.Bytes, s.log.Refused, bytes, cross, float64(bytes)/d.Seconds())
}

// domainOf returns the domain in a host's or a replica's name, or nothing.
func domainOf(name string) string {
	for _, d := range domains {
		if strings.Contains(name, "-"+d+"-") || strings.Contains(name, "/"+d+"/") {
			return d
		}
	}
	return ""
}

// counts are the requests by outcome.
type counts struct{ requests, answered, notRun, unknown int }

func count(results []result) counts {
	c := counts{requests: len(results)}
	for _, r := range results {
		switch r.outcome {
		case answered, lost:
			c.answered++
		case notRun:
			c.notRun++
		case unknown:
			c.unknown++
		}
	}
	return c
}

// shownDetails bounds how many details are printed of each kind.
const shownDetails = 20

func printBreaches(w io.Writer, began time.Time, list []standin.Breach) {
	for i, b := range list {
		if i == shownDetails {
			fmt.Fprintf(w, "  and %d more\n", len(list)-i)
			return
		}
		fmt.Fprintf(w, "  breach at %6.2f s: %s: %s: %s\n", b.Time.Sub(began).Seconds(), b.Promise, b.Subject, b.Detail)
	}
}

// printReasons counts the reasons of requests that were not answered.
func printReasons(w io.Writer, results []result) {
	type kind struct {
		o      outcome
		detail string
	}
	n := map[kind]int{}
	var order []kind
	for _, r := range results {
		if r.outcome != notRun && r.outcome != unknown {
			continue
		}
		k := kind{r.outcome, reason(r.detail)}
		if n[k]++; n[k] == 1 {
			order = append(order, k)
		}
	}
	names := map[outcome]string{notRun: "not run", unknown: "unknown"}
	for i, k := range order {
		if i == shownDetails {
			return
		}
		fmt.Fprintf(w, "  %d %s: %s\n", n[k], names[k.o], k.detail)
	}
}

// reason drops what differs between like details: ports and addresses.
func reason(detail string) string {
	if i := strings.LastIndex(detail, ": "); strings.HasPrefix(detail, "P") && i > 0 {
		return detail[i+2:]
	}
	return detail
}
