// Package node implements the scheduler process of one host. It follows the store,
// accepts callers' jobs and, while it is the leader, runs the dispatcher.
package node

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/store"
	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// Feeds names the partitions that the platform's operators and workers write to,
// and converts their records. Its functions are pure and may be called
// concurrently.
type Feeds struct {
	// Operators, Workers and Status are keyed partitions.
	Operators, Workers, Status store.Partition
	// DecodeCatalog decodes a record of the operators. It returns nil, nil for other
	// records.
	DecodeCatalog func(store.Record) (*workflow.Catalog, error)
	// DecodeWave decodes a record of the operators. It returns nil, nil for other
	// records.
	DecodeWave func(store.Record) (*worker.MaintenanceWave, error)
	// DecodeWorker decodes a worker's entry. An error means that the entry does not
	// describe a usable worker.
	DecodeWorker func(store.Record) (worker.Info, error)
	// EncodeWaveStatus returns the record that reports a wave's status.
	EncodeWaveStatus func(wave int64, completed bool) store.Record
}

// Limits are the platform's limits that the scheduler must respect.
type Limits struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTimeout is the longest time that stopping a task takes.
	StopTimeout time.Duration
	// GangTimeout is how long the members of a gang wait for each other.
	GangTimeout time.Duration
	// DrainBound is the time after which a draining worker must get no new tasks.
	DrainBound time.Duration
	// CancelBound is the time after which no more tasks of a cancelled job may be
	// started.
	CancelBound time.Duration
	// VisibleBound is the time after which an accepted job must be known at all nodes.
	VisibleBound time.Duration
	// EarlyStart is how long before its due time an occurrence may start.
	EarlyStart time.Duration
	// StatusRetention is how long a finished job's state is kept.
	StatusRetention time.Duration
	// RemoteFactor is the factor by which a task runs longer when it is away from its
	// data.
	RemoteFactor float64
	// CheckpointInterval and RestoreTime apply to checkpointing tasks.
	CheckpointInterval, RestoreTime time.Duration
	// AbsenceNotice is how long an absent task counts against its disruption budget.
	AbsenceNotice time.Duration
	// FillerHarmBound is how long a filler may keep a serving task over its target.
	FillerHarmBound time.Duration
	// PaceDelay is how long a change of a task's pace takes.
	PaceDelay time.Duration
	// MoveTime and MaintenanceTime are how long a machine is away for a move or for
	// maintenance.
	MoveTime, MaintenanceTime time.Duration
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// MachineFencing is whether the tokens of machine orders are checked.
	MachineFencing bool
	// MachineLease is how long a holder of the machine lease must be the only one.
	MachineLease time.Duration
	// MachineListPerSecond and MachineOrdersPerSecond limit the calls of all nodes
	// together.
	MachineListPerSecond, MachineOrdersPerSecond float64
	// Heartbeat is how often a worker writes its entry.
	Heartbeat time.Duration
	// AccountsInUse is whether callers need keys even if the configuration has no
	// accounts.
	AccountsInUse bool
	// RevocationBound is how long after its removal is acknowledged a key may still be
	// accepted, by hosts out of reach too; 0 means no bound.
	RevocationBound time.Duration
	// MemoryMiB limits the memory of the process.
	MemoryMiB int64
	// MaxDescriptors limits the descriptors of the process; 0 is unknown.
	MaxDescriptors int64
	// MaxPendingBytes bounds the callers' records that wait for the store, MaxJobBytes the
	// job records in the job table. 0 is a share of the memory.
	MaxPendingBytes, MaxJobBytes int64
	// CPUShare is the process's share of a core.
	CPUShare float64
}

// Settings configure one process.
type Settings struct {
	Node   string
	Domain string
	Region string
	// Host is the address to which the callers' and internal ports are bound.
	Host string
	// CallersAddress, ReadyAddress and ControlAddress are host:port, empty if not
	// served.
	CallersAddress, ReadyAddress, ControlAddress string
	// InternalPorts are the first and the last port for communication between nodes.
	InternalPorts [2]int
	StoreAddress  string
	AdviceAddress string
	CloudAddress  string
	// StorePartitions is the number of partitions of a topic.
	StorePartitions int
	// MaxRecordBytes and MaxRequestBytes limit appends.
	MaxRecordBytes, MaxRequestBytes int
	// OrdersByHeartbeat is set when workers fetch their orders instead of being
	// called.
	OrdersByHeartbeat bool
	Limits            Limits
	// DeclaredRunTimes is set if run times are taken as callers declare them.
	DeclaredRunTimes bool
}
