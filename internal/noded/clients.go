package noded

import (
	"cmp"
	"time"

	"github.com/spf13/pflag"

	"github.com/mimosaspool/mimosaspool/internal/ingress"
	"github.com/mimosaspool/mimosaspool/internal/node"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

const (
	// defaultBodyStall and defaultBodyTimeout bound the time between a body's bytes and the
	// time to receive it.
	defaultBodyStall   = 5 * time.Second
	defaultBodyTimeout = 30 * time.Second
	// largestHeadLimit is the largest limit of a head that net/http does not exceed itself.
	largestHeadLimit = 1 << 20
)

// clientOptions bound what callers can make the process hold. Those of 0 are derived from
// the host's memory and descriptors.
type clientOptions struct {
	Connections     int           `flag:"client-connections" validate:"min=0"`
	IdleConnections int           `flag:"client-idle-connections" validate:"min=0"`
	HeadBytes       int64         `flag:"client-head-bytes" validate:"min=0"`
	BodyBytes       int64         `flag:"client-body-bytes" validate:"min=0"`
	BodyStall       time.Duration `flag:"client-body-stall" validate:"gt=0"`
	BodyTimeout     time.Duration `flag:"client-body-timeout" validate:"gt=0"`
	PendingBytes    int64         `flag:"pending-write-bytes" validate:"min=0"`
	JobBytes        int64         `flag:"job-table-bytes" validate:"min=0"`
}

func (o *clientOptions) addFlags(f *pflag.FlagSet) {
	f.IntVar(&o.Connections, "client-connections", 0, "most connections of callers; 0 derives it from memory and descriptors")
	f.IntVar(&o.IdleConnections, "client-idle-connections", 0, "most idle connections of callers; 0 is half of all")
	f.Int64Var(&o.HeadBytes, "client-head-bytes", 0, "most bytes of all request heads; 0 is 1/16 of the memory")
	f.Int64Var(&o.BodyBytes, "client-body-bytes", 0, "most bytes of memory for all request bodies; 0 is 1/8 of the memory")
	f.DurationVar(&o.BodyStall, "client-body-stall", defaultBodyStall, "longest time between two parts of a request body")
	f.DurationVar(&o.BodyTimeout, "client-body-timeout", defaultBodyTimeout, "longest time to receive a request body")
	f.Int64Var(&o.PendingBytes, "pending-write-bytes", 0, "most bytes of callers' jobs that wait for the store, record and decoded; 0 is 1/16 of the memory")
	f.Int64Var(&o.JobBytes, "job-table-bytes", 0, "most bytes of memory of all accepted jobs; 0 is 1/5 of the memory")
}

const (
	// maxPeerBodyBytes bounds the body of a request of another node or of an operator.
	maxPeerBodyBytes = 4 << 20
	// maxOperatorRequests bounds the requests of a kind of operators that are served at the same
	// time. Their responses grow with the number of jobs or the length of the log.
	maxOperatorRequests = 8
	// answerMemoryDivisor is the share of the memory for responses to other nodes.
	answerMemoryDivisor = 16
	// The servers for other nodes and for probes get the bounds of hosts with these parts of the
	// memory and the descriptors.
	peerMemoryDivisor, peerDescriptorDivisor   = 2, 2
	probeMemoryDivisor, probeDescriptorDivisor = 8, 16
)

// peerBounds returns the bounds of the server for other nodes and operators.
func peerBounds(l node.Limits) ingress.Bounds {
	return partialBounds(l, peerMemoryDivisor, peerDescriptorDivisor)
}

// probeBounds returns the bounds of the servers for the balancer's probes and for metrics.
func probeBounds(l node.Limits) ingress.Bounds {
	return partialBounds(l, probeMemoryDivisor, probeDescriptorDivisor)
}

func partialBounds(l node.Limits, memoryDivisor, descriptorDivisor int64) ingress.Bounds {
	return ingress.Bounds{}.Derive(l.MemoryMiB<<20/memoryDivisor, l.MaxDescriptors/descriptorDivisor)
}

func (o *clientOptions) bounds(l node.Limits) ingress.Bounds {
	return ingress.Bounds{
		Connections: o.Connections, IdleConnections: o.IdleConnections, HeadBytes: o.HeadBytes, BodyBytes: o.BodyBytes,
	}.Derive(l.MemoryMiB<<20, l.MaxDescriptors)
}

// limits returns the limits in force, given those of the operators.
func (o *clientOptions) limits(l workflow.ConnectionLimits) ingress.Limits {
	return ingress.Limits{
		MaxHeadBytes: min(cmp.Or(l.MaxHeadBytes, maxHeaderBytes), largestHeadLimit),
		HeadTimeout:  cmp.Or(l.HeadTimeout, headerTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, idleTimeout),
		BodyTimeout: o.BodyTimeout, BodyStall: o.BodyStall,
	}
}
