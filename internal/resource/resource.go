// Package resource describes the resources that a worker has and a task requests.
package resource

import (
	"fmt"
	"strings"
)

// Vector is an amount of each resource. The zero value is empty.
type Vector struct {
	// MilliCPU is CPU in thousandths of a core.
	MilliCPU int64 `json:"milliCPU,omitempty"`
	// MemoryMiB is memory in MiB.
	MemoryMiB int64 `json:"memoryMiB,omitempty"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.MilliCPU + o.MilliCPU, v.MemoryMiB + o.MemoryMiB, v.Accelerators + o.Accelerators}
}

// Sub returns v - o. Amounts may become negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.MilliCPU - o.MilliCPU, v.MemoryMiB - o.MemoryMiB, v.Accelerators - o.Accelerators}
}

// Scale returns v * n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.MilliCPU * n, v.MemoryMiB * n, v.Accelerators * n}
}

// Max returns the larger amount of each resource.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.MilliCPU, o.MilliCPU), max(v.MemoryMiB, o.MemoryMiB), max(v.Accelerators, o.Accelerators)}
}

// Fits reports whether v is at most o in every resource.
func (v Vector) Fits(o Vector) bool {
	return v.MilliCPU <= o.MilliCPU && v.MemoryMiB <= o.MemoryMiB && v.Accelerators <= o.Accelerators
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// Valid reports whether no amount is negative.
func (v Vector) Valid() bool { return v.MilliCPU >= 0 && v.MemoryMiB >= 0 && v.Accelerators >= 0 }

// String formats v as "2.5 cpu, 4GiB, 1 accelerators". Amounts of zero are
// omitted; the zero value is "nothing".
func (v Vector) String() string {
	var parts []string
	if v.MilliCPU != 0 {
		parts = append(parts, fmt.Sprintf("%g cpu", float64(v.MilliCPU)/1000))
	}
	switch {
	case v.MemoryMiB == 0:
	case v.MemoryMiB%1024 == 0:
		parts = append(parts, fmt.Sprintf("%dGiB", v.MemoryMiB/1024))
	default:
		parts = append(parts, fmt.Sprintf("%dMiB", v.MemoryMiB))
	}
	if v.Accelerators != 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", v.Accelerators))
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}
