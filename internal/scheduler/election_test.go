package scheduler_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

// seated returns the core of a host of a domain with one worker, w1, and the
// entries h1 and h2, and what it wants done when the records are read.
func seated(host string, at time.Duration, ops ...configuration.Op) (*scheduler.Core, []scheduler.Effect) {
	c := scheduler.New(scheduler.DefaultSettings(host, "1", "d"))
	c.Step(0, scheduler.HostsRead{Hosts: []scheduler.Host{{Name: "w1", Address: "a1"}}})
	domain := configuration.Op{Domain: &configuration.Domain{Name: "d", Workers: []string{"w1"}, Entries: []string{"h1", "h2"}}}
	data, err := configuration.Encode(configuration.Record{ID: "a", Ops: append([]configuration.Op{domain}, ops...)})
	Expect(err).NotTo(HaveOccurred())
	return c, c.Step(at, scheduler.LogRead{Records: []configuration.Numbered{{Data: data}}})
}

var _ = Describe("Election", func() {
	// writes returns how many writes a host of a domain sends within a short
	// time after the domain's declaration, long after the host's start.
	writes := func(host string, within time.Duration) int {
		declared := 10 * time.Second
		c, effects := seated(host, declared)
		n := len(effects)
		for now := declared; now <= declared+within; now += 100 * time.Millisecond {
			n += len(c.Step(now, scheduler.Tick{}))
		}
		return n
	}

	It("lets the first seat claim a new domain before the second", func() {
		Expect(writes("h1", 900*time.Millisecond)).To(BeNumerically(">", 0))
		Expect(writes("h2", 900*time.Millisecond)).To(BeZero())
		Expect(writes("h2", 2*time.Second)).To(BeNumerically(">", 0))
	})
})
