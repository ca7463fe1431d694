package lifecycle

import (
	"os"
	"runtime"
	"runtime/debug"
)

const (
	// controlMaxProcs is GOMAXPROCS of a control-plane process. It handles small
	// messages; more threads would spend their time waking each other.
	controlMaxProcs = 1
	// gcPercent is the heap growth between garbage collections, in percent. The
	// live heap is a few MB; at the default of 100 there would be many collections
	// per second, which add to the tail latency of requests.
	gcPercent = 400
	// controlMemoryLimitBytes is the soft memory limit of a control-plane process;
	// near it the garbage collector runs more often.
	controlMemoryLimitBytes = 128 << 20
)

// TuneControlProcess configures the runtime for a process that only handles control
// messages. GOMAXPROCS, GOGC and GOMEMLIMIT in the environment take precedence.
func TuneControlProcess() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(controlMaxProcs)
	}
	TuneGC()
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(controlMemoryLimitBytes)
	}
}

// TuneGC lets the heap grow further between garbage collections. GOGC in the
// environment takes precedence.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
