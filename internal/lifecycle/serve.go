package lifecycle

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/mimosaspool/mimosaspool/internal/ingress"
)

const (
	// maxHeadBytes bounds a request head.
	maxHeadBytes = 16384
	// headTimeout bounds the time to receive a head, idleTimeout the time between requests. The
	// latter exceeds that after which clients of control messages close idle connections.
	headTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	// bodyStall bounds the time between two parts of a body.
	bodyStall = 30 * time.Second
	// memoryShare is the share of the memory limit that the heap may take.
	memoryShare = 0.7
)

// ServeOptions bound what clients can make a program hold.
type ServeOptions struct {
	// MemoryMiB is the memory of the program in mebibytes.
	MemoryMiB int64
	// Streaming is set if the handler passes bodies of any length on while they come.
	Streaming bool
	// RefusalHeader returns the headers of a refusal that is made before a request reaches the
	// handler, beside Retry-After; it may be nil.
	RefusalHeader func(reason string) http.Header
	// Count increments the counter of a kind and reason; it may be nil.
	Count func(kind, reason string)
}

func (o *ServeOptions) gateConfig() ingress.Config {
	limits := ingress.Limits{MaxHeadBytes: maxHeadBytes, HeadTimeout: headTimeout, IdleTimeout: idleTimeout, BodyStall: bodyStall}
	count := o.Count
	if count == nil {
		count = func(string, string) {}
	}
	return ingress.Config{
		Bounds: ingress.Bounds{}.Derive(o.MemoryMiB<<20, maxDescriptors()), Limits: func() ingress.Limits { return limits },
		Refusal: func(reason string) (string, []byte) { return "text/plain; charset=utf-8", []byte(reason + "\n") }, RefusalHeader: o.RefusalHeader,
		Count: count, Log: logrus.StandardLogger(), Streaming: o.Streaming, HTTP2: true,
	}
}

// maxDescriptors returns how many descriptors the process may open, 0 if that is unknown.
func maxDescriptors() int64 {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		logrus.WithError(err).Warn("the limit of descriptors is unknown")
		return 0
	}
	return int64(min(l.Cur, 1<<30))
}

// LimitMemory makes the garbage collector keep the heap within its share of the program's
// memory. GOMEMLIMIT in the environment takes precedence.
func LimitMemory(memoryMiB int64) {
	if debug.SetMemoryLimit(-1) == maxMemoryLimit {
		debug.SetMemoryLimit(int64(float64(memoryMiB<<20) * memoryShare))
	}
}

// maxMemoryLimit is the runtime's memory limit while none is set.
const maxMemoryLimit = 1<<63 - 1
