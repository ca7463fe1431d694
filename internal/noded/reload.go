package noded

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadEvery is how often the settings are read again without a signal.
const reloadEvery = 2 * time.Second

// hangups returns a channel of SIGHUP; without it the signal ends the process.
func hangups() <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

// reload applies changed settings, on SIGHUP and from time to time, until the
// context ends. Settings that can't be used leave those in force.
func (d *daemon) reload(ctx context.Context, hangups <-chan os.Signal) {
	tick := time.NewTicker(reloadEvery)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-tick.C:
		}
		set, changed, err := d.platform.Reload()
		fields := logrus.Fields{"signalled": signalled, "changed": changed}
		switch {
		case err != nil:
			d.log.WithError(err).WithFields(fields).Warn("settings can't be used; those in force stay")
		case changed:
			d.node.Reconfigure(ctx, set)
			d.log.WithFields(fields).Info("settings reloaded")
		case signalled:
			d.log.WithFields(fields).Info("settings reloaded")
		}
	}
}
