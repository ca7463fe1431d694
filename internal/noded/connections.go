package noded

import (
	"github.com/sirupsen/logrus"

	"github.com/mimosaspool/mimosaspool/internal/workerconn"
)

// connectionObserver counts the connections to workers, and logs changes of their state.
type connectionObserver struct {
	count func(kind, reason string)
	log   logrus.FieldLogger
}

const workerConnection = "worker-connection"

// Opened implements workerconn.Observer.
func (o connectionObserver) Opened() { o.count(workerConnection, "opened") }

// Reset implements workerconn.Observer.
func (o connectionObserver) Reset() { o.count(workerConnection, "reset") }

// StateChanged implements workerconn.Observer.
func (o connectionObserver) StateChanged(address string, now workerconn.State) {
	o.count(workerConnection, now.String())
	l := o.log.WithFields(logrus.Fields{"address": address, "state": now.String()})
	if now == workerconn.Normal {
		l.Info("a worker accepts connections again")
		return
	}
	l.Warn("a worker resets new connections")
}
