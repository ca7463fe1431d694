// Package team keeps the books of the teams in one failure domain: what each
// holds, its quota and its weighted share.
package team

import (
	"maps"
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// Ledger holds the accounts of all teams. It isn't safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
}

type account struct {
	weight int64
	quota  resource.Vector
	used   resource.Vector
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*account{}} }

func (l *Ledger) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{weight: 1}
		l.accounts[name] = a
	}
	return a
}

// Declare sets a team's weight and its quota in this domain; a zero amount is
// no bound. What the team holds above a lowered quota stays until it ends.
// It reports whether the quota changed.
func (l *Ledger) Declare(name string, weight int64, quota resource.Vector) bool {
	a := l.account(name)
	changed := a.quota != quota
	a.weight, a.quota = max(weight, 1), quota
	return changed
}

// Names returns the names of all accounts, in no order.
func (l *Ledger) Names() []string { return slices.Collect(maps.Keys(l.accounts)) }

// Take counts an amount as held by the team.
func (l *Ledger) Take(name string, size resource.Vector) {
	a := l.account(name)
	a.used = a.used.Add(size)
}

// Give counts an amount as no longer held by the team.
func (l *Ledger) Give(name string, size resource.Vector) {
	a := l.account(name)
	a.used = a.used.Sub(size)
}

// Admits reports whether the team may hold the amount beside what it holds.
func (l *Ledger) Admits(name string, size resource.Vector) bool {
	a := l.account(name)
	used := a.used.Add(size)
	return within(used.MilliCPU, a.quota.MilliCPU) &&
		within(used.MemoryMiB, a.quota.MemoryMiB) &&
		within(used.Accelerators, a.quota.Accelerators)
}

func within(used, quota int64) bool { return quota == 0 || used <= quota }

// Used returns what the team holds.
func (l *Ledger) Used(name string) resource.Vector { return l.account(name).used }

// Share returns the part of the scarcest resource that the team holds of the
// total, divided by its weight. The team with the lowest share goes first, so a
// team may borrow what others leave idle and gives way when they ask for it.
func (l *Ledger) Share(name string, total resource.Vector) float64 {
	a := l.account(name)
	top := max(ratio(a.used.MilliCPU, total.MilliCPU), ratio(a.used.MemoryMiB, total.MemoryMiB), ratio(a.used.Accelerators, total.Accelerators))
	return top / float64(a.weight)
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// Part divides a team's quota over domains by what the team asks for in each:
// here of all. The parts never add up to more than the quota. A team that asks
// for less than its quota in all has no bound.
func Part(quota, here, all resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     part(quota.MilliCPU, here.MilliCPU, all.MilliCPU),
		MemoryMiB:    part(quota.MemoryMiB, here.MemoryMiB, all.MemoryMiB),
		Accelerators: part(quota.Accelerators, here.Accelerators, all.Accelerators),
	}
}

// none is a bound that admits no amount.
const none = -1

func part(quota, here, all int64) int64 {
	if quota == 0 || all <= quota {
		return 0
	}
	if p := quota * here / all; p > 0 {
		return p
	}
	return none
}
