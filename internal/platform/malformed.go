package platform

import (
	"github.com/pkg/errors"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// ErrMalformed marks a reply that can be decoded and makes no sense. It is
// treated as no reply.
var ErrMalformed = errors.New("malformed reply")

func malformed(format string, args ...any) error {
	return errors.WithMessagef(ErrMalformed, format, args...)
}

// maxTaskName bounds the bytes of a task's name.
const maxTaskName = 1024

// checkPage refuses records out of order, and those before the ones asked for.
func checkPage(from int64, r *api.ReadReply) error {
	if r.First < 0 {
		return malformed("first offset %d", r.First)
	}
	next := from
	for _, rec := range r.Records {
		if rec.Offset < next {
			return malformed("record at offset %d after %d", rec.Offset, next-1)
		}
		next = rec.Offset + 1
	}
	return nil
}

// checkReply refuses amounts below zero, unknown states and tasks without a name.
func checkReply(r *api.WriteReply) error {
	if r.NowMs < 0 || r.BootMs < 0 {
		return malformed("time below zero")
	}
	if r.Token < 0 {
		return malformed("token %d", r.Token)
	}
	if !valid(r.Capacity) {
		return malformed("capacity %s", Vector(r.Capacity))
	}
	seen := make(map[uint64]bool, len(r.Tasks))
	for _, t := range r.Tasks {
		_, known := api.TaskState_name[int32(t.State)]
		switch {
		case t.Task == "" || len(t.Task) > maxTaskName || t.Attempt == 0 || seen[t.Attempt]:
			return malformed("task %.40q, attempt %d", t.Task, t.Attempt)
		case !known || t.LeaseExpiryMs < 0 || !valid(t.Size) || !valid(t.Usage):
			return malformed("state of task %.40q", t.Task)
		}
		seen[t.Attempt] = true
	}
	return nil
}

// maxAmount bounds an amount, so that sums of amounts can't overflow.
const maxAmount = 1 << 40

func valid(r *api.Resources) bool {
	v := Vector(r)
	return v.Valid() && v.Fits(resource.Vector{MilliCPU: maxAmount, MemoryMiB: maxAmount, Accelerators: maxAmount})
}
