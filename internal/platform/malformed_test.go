package platform

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	api "github.com/mimosaspool/mimosaspool/api/platform"
)

func TestMalformedReplies(t *testing.T) {
	RegisterTestingT(t)
	size := &api.Resources{MilliCpu: 1}
	task := func(change func(t *api.Task)) *api.WriteReply {
		x := &api.Task{Task: "s/0/d/0", Attempt: 1, Size: size, LeaseExpiryMs: 5, Usage: size}
		change(x)
		return &api.WriteReply{NowMs: 5, BootMs: 1, Capacity: size, Tasks: []*api.Task{{Task: "s/0/d/1", Attempt: 2}, x}}
	}
	Expect(checkReply(task(func(*api.Task) {}))).To(Succeed())
	Expect(checkReply(&api.WriteReply{Unchanged: true})).To(Succeed())
	Expect(checkReply(&api.WriteReply{Token: 7})).To(Succeed())
	for i, r := range []*api.WriteReply{
		{NowMs: -1},
		{Token: -1},
		{Token: math.MinInt64},
		{Capacity: &api.Resources{MemoryMib: -1}},
		{Capacity: &api.Resources{MilliCpu: 1 << 62}},
		task(func(t *api.Task) { t.Task = "" }),
		task(func(t *api.Task) { t.Attempt = 0 }),
		task(func(t *api.Task) { t.Attempt = 2 }),
		task(func(t *api.Task) { t.State = 99 }),
		task(func(t *api.Task) { t.Size = &api.Resources{Accelerators: -1} }),
		task(func(t *api.Task) { t.LeaseExpiryMs = -1 }),
	} {
		Expect(errors.Is(checkReply(r), ErrMalformed)).To(BeTrue(), "reply %d", i)
	}
	page := func(offsets ...int64) error {
		r := &api.ReadReply{}
		for _, o := range offsets {
			r.Records = append(r.Records, &api.LogRecord{Offset: o})
		}
		return checkPage(3, r)
	}
	Expect(page(3, 4, 7)).To(Succeed())
	Expect(page()).To(Succeed())
	Expect(errors.Is(page(2), ErrMalformed)).To(BeTrue())
	Expect(errors.Is(page(3, 3), ErrMalformed)).To(BeTrue())
	Expect(errors.Is(checkPage(0, &api.ReadReply{First: -1}), ErrMalformed)).To(BeTrue())
}
