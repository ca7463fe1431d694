package schedulerd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

func TestCoreIsToldOnceTheSlotsOfALeavingRunnerAreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		d := New(Options{Settings: scheduler.DefaultSettings("h", "1", "d"), Logger: logrus.WithField("host", "h")})
		publish := func(version int64, leaving bool) {
			ep := scheduler.Endpoint{Service: "s", Attempt: 7, StartedThisTerm: true, Leaving: leaving}
			dir := scheduler.Directory{Version: version, Endpoints: []scheduler.Endpoint{ep}}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.status = status{dir: dir, term: scheduler.Term{Held: true, Until: time.Hour}}
		}
		req := &control.SyncRequest{Entry: "e", Holder: "e#1", Applied: 0}
		sync := func(busy int32) {
			req.Sequence++
			reply, err := d.directory.Sync(context.Background(), req)
			Expect(err).NotTo(HaveOccurred())
			req.Applied, req.KnownVersion, req.Held = reply.Serial, reply.Version, nil
			for _, e := range reply.Endpoints {
				req.Held = append(req.Held, &control.HeldSlots{Attempt: e.Attempt, Slots: e.Slots, Busy: busy})
			}
		}
		publish(1, false)
		sync(0)
		sync(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.directory.watchIdle(ctx)
		publish(2, true)
		sync(1)
		sync(1)
		time.Sleep(time.Second)
		Expect(d.events).NotTo(Receive())
		sync(0)
		sync(0)
		time.Sleep(time.Second)
		Expect(d.events).To(Receive(Equal(scheduler.SlotsIdle{Version: 2, Attempts: []uint64{7}})))
		publish(3, false)
		time.Sleep(time.Second)
		Expect(d.events).To(Receive(Equal(scheduler.SlotsIdle{Version: 3})))
	})
}
