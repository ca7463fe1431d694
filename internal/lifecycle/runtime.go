package lifecycle

import (
	"os"
	"runtime"
	"runtime/debug"
)

const (
	// controlThreads is how many threads run a control program's code at once.
	// Its work is small messages; more threads spend their time waking each other.
	controlThreads = 1
	// controlGC is how far the heap of a control program grows between
	// collections, in percent.
	controlGC = 400
	// controlMemory is the memory in bytes near which it collects more often.
	controlMemory = 128 << 20
)

// TuneControl sets the runtime up for a program that only handles control
// messages. GOMAXPROCS, GOGC and GOMEMLIMIT in the environment go before it.
func TuneControl() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(controlThreads)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(controlGC)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(controlMemory)
	}
}
