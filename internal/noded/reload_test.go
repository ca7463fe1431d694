package noded

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/mimosaspool/mimosaspool/internal/node"
)

// TestReloadLines checks that a signalled reload is logged with its outcome, and
// one without signal and change is not.
func TestReloadLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log, hook := logtest.NewNullLogger()
		var failure error
		d := &daemon{log: log, platform: &Platform{Reload: func() (node.Settings, bool, error) { return node.Settings{}, false, failure }}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		signals := make(chan os.Signal)
		go d.reload(ctx, signals)
		signals <- syscall.SIGHUP
		synctest.Wait()
		g.Expect(hook.Entries).To(HaveLen(1))
		g.Expect(hook.LastEntry().Message).To(Equal("settings reloaded"))
		g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("signalled", true))
		failure = errors.New("no ip")
		signals <- syscall.SIGHUP
		synctest.Wait()
		g.Expect(hook.Entries).To(HaveLen(2))
		g.Expect(hook.LastEntry().Message).To(Equal("settings can't be used; those in force stay"))
		failure = nil
		time.Sleep(2 * reloadEvery)
		synctest.Wait()
		g.Expect(hook.Entries).To(HaveLen(2))
		cancel()
		synctest.Wait()
	})
}
