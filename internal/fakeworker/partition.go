package fakeworker

import (
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

// Partition is a tenure partition that answers at once. The zero value is empty.
type Partition struct {
	// Out makes all calls fail.
	Out     bool
	records []tenure.Record
}

// End returns the offset of the next record.
func (p *Partition) End() int64 { return int64(len(p.records)) }

// Append appends a record as the effect wants it.
func (p *Partition) Append(eff scheduler.AppendTenure) scheduler.TenureAppended {
	ev := scheduler.TenureAppended{Record: eff.Record, Offset: p.End()}
	if p.Out || eff.End >= 0 && eff.End != p.End() {
		ev.Failed = true
		return ev
	}
	p.records = append(p.records, eff.Record)
	return ev
}

// Members returns those recorded last.
func (p *Partition) Members() []string {
	for _, r := range slices.Backward(p.records) {
		if len(r.Members) > 0 {
			return r.Members
		}
	}
	return nil
}

// Last returns the newest record.
func (p *Partition) Last() tenure.Record { return p.records[len(p.records)-1] }

// Read returns the records from an offset on, or tells that it can't.
func (p *Partition) Read(from int64) scheduler.Event {
	if p.Out {
		return scheduler.TenureUnread{}
	}
	ev := scheduler.TenureRead{End: p.End()}
	for o := max(from, 0); o < p.End(); o++ {
		ev.Offsets, ev.Records = append(ev.Offsets, o), append(ev.Records, p.records[o])
	}
	return ev
}
