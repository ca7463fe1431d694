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
	// heapGrowth is how far a program's heap grows between collections, in
	// percent. Its live heap is a few MB, so that collections at the usual 100
	// come many times a second and show in the slowest requests.
	heapGrowth = 400
	// controlMemory is the memory in bytes near which it collects more often.
	controlMemory = 128 << 20
)

// TuneControl sets the runtime up for a program that only handles control
// messages. GOMAXPROCS, GOGC and GOMEMLIMIT in the environment go before it.
func TuneControl() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(controlThreads)
	}
	TuneHeap()
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(controlMemory)
	}
}

// TuneHeap lets the heap grow further between collections. GOGC in the
// environment goes before it.
func TuneHeap() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(heapGrowth)
	}
}
