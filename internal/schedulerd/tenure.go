package schedulerd

import (
	"context"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
	"github.com/mimosaspool/mimosaspool/internal/tenure"
)

const (
	// tenureWait is how long a read of the tenure partition waits for news. It
	// is far below the time after which silence counts anew.
	tenureWait = 300 * time.Millisecond
	// tenureTimeout bounds the answer to a claim or a beat.
	tenureTimeout = 1500 * time.Millisecond
	// tenureRetry is the wait after a read that failed.
	tenureRetry = 250 * time.Millisecond
)

// followTenure reads the domain's tenure partition.
func (d *Daemon) followTenure(ctx context.Context) {
	var next int64
	for ctx.Err() == nil {
		page, err := d.opt.Tenure.Read(ctx, next, readMost, tenureWait)
		if err != nil {
			d.unanswered(reasonTenure, err)
			d.send(ctx, scheduler.TenureUnread{})
			sleep(ctx, tenureRetry)
			continue
		}
		ev := d.tenureRead(page)
		next = ev.End
		d.send(ctx, ev)
	}
}

func (d *Daemon) tenureRead(page platform.LogPage) scheduler.TenureRead {
	ev := scheduler.TenureRead{First: page.First, End: page.Next}
	for _, n := range page.Records {
		// Behind a full page there may be more.
		ev.End = n.Offset + 1
		r, err := tenure.Decode(n.Data)
		if err != nil {
			d.opt.Count("refusal", recordMalformed, 1)
			continue
		}
		ev.Offsets, ev.Records = append(ev.Offsets, n.Offset), append(ev.Records, r)
	}
	return ev
}

func (d *Daemon) appendTenure(ctx context.Context, eff scheduler.AppendTenure) {
	ctx, cancel := context.WithTimeout(ctx, tenureTimeout)
	defer cancel()
	sent := time.Now()
	offset, err := d.opt.Tenure.Append(ctx, eff.Record.Encode(), eff.End)
	if err != nil {
		d.unanswered(reasonTenure, err)
	}
	if eff.End >= 0 {
		d.events <- scheduler.TenureAppended{Record: eff.Record, Offset: offset, Failed: err != nil, Took: time.Since(sent)}
	}
}
