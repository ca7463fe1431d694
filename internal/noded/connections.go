package noded

// connectionObserver counts the connections to workers.
type connectionObserver struct{ count func(kind, reason string) }

const workerConnection = "worker-connection"

// Opened implements workerconn.Observer.
func (o connectionObserver) Opened() { o.count(workerConnection, "opened") }

// Reset implements workerconn.Observer.
func (o connectionObserver) Reset() { o.count(workerConnection, "reset") }
