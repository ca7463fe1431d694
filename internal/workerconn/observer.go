// Package workerconn is about the connections of a leader to the workers.
package workerconn

// Observer is told of the connections to workers. Its functions may be called concurrently.
type Observer interface {
	// Opened is called for each new connection that carried a call.
	Opened()
	// Reset is called for each new connection that the worker reset at once.
	Reset()
}
