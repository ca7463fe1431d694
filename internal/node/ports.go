// Package node is the program of one host: it follows the store, takes callers'
// jobs, and, while it holds the right to place, runs the dispatcher.
package node

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Feeds tells where the platform's operators and workers write, and reads
// their records. Its functions are pure and may be called concurrently.
type Feeds struct {
	// Operators, Workers and Status are keyed partitions.
	Operators, Workers, Status store.Partition
	// Catalog reads an operators' record. It returns nil, nil for other records.
	Catalog func(store.Record) (*workflow.Catalog, error)
	// Wave reads an operators' record. It returns nil, nil for other records.
	Wave func(store.Record) (*worker.MaintenanceWave, error)
	// Worker reads a worker's entry. An error means that it names no worker to use.
	Worker func(store.Record) (worker.Info, error)
	// WaveStatus returns the record that tells how far a wave is.
	WaveStatus func(wave int64, completed bool) store.Record
}

// Limits are the platform's bounds that the product has to know.
type Limits struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTimeout is the longest time that a stop takes.
	StopTimeout time.Duration
	// GangTimeout is how long a gang's members wait for each other.
	GangTimeout time.Duration
	// DrainBound is within what time a draining worker must get nothing new.
	DrainBound time.Duration
	// CancelBound is within what time a cancelled job must get no more starts.
	CancelBound time.Duration
	// VisibleBound is within what time an accepted job must be known everywhere.
	VisibleBound time.Duration
	// Early is how much before its due time an occurrence may start.
	Early time.Duration
	// StatusRetention is how long a finished job's state is kept.
	StatusRetention time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
	// CheckpointInterval and RestoreTime are of checkpointing tasks.
	CheckpointInterval, RestoreTime time.Duration
	// Notice is how long an absent task counts against its disruption budget.
	Notice time.Duration
	// HarmBound is how long a serving task may be over its target for a filler's sake.
	HarmBound time.Duration
	// PaceDelay is how long a change of pace takes.
	PaceDelay time.Duration
	// MoveTime and UpkeepTime are how long a machine is away.
	MoveTime, UpkeepTime time.Duration
	// Grace is the time from the order to stop until the process is killed.
	Grace time.Duration
	// Fencing is whether orders for machines are checked for their token.
	Fencing bool
	// DutyLease is how long a holder of a duty must be the only one.
	DutyLease time.Duration
	// MachineListPerSecond and MachineOrdersPerSecond bound calls of all nodes together.
	MachineListPerSecond, MachineOrdersPerSecond float64
	// Heartbeat is how often a worker writes its entry.
	Heartbeat time.Duration
	// MemoryMiB bounds the process.
	MemoryMiB int64
	// CPUShare is the share of a core that the process has.
	CPUShare float64
}

// Settings are what one process is told.
type Settings struct {
	Node   string
	Domain string
	Region string
	// Host is the address that callers' and internal ports are bound on.
	Host string
	// CallersAddress, ReadyAddress and ControlAddress are host:port, empty if not served.
	CallersAddress, ReadyAddress, ControlAddress string
	// InternalPorts are the first and the last port free for the nodes' own use.
	InternalPorts [2]int
	StoreAddress  string
	AdviceAddress string
	CloudAddress  string
	// StorePartitions is how many partitions a topic has.
	StorePartitions int
	// MaxRecordBytes and MaxRequestBytes bound appends.
	MaxRecordBytes, MaxRequestBytes int
	// OrdersByHeartbeat is set when workers fetch their orders instead of being called.
	OrdersByHeartbeat bool
	Limits            Limits
}
