// Package team tracks the resource usage of teams or client accounts, their quotas,
// weighted shares and rates of jobs.
package team

import (
	"maps"
	"slices"

	"github.com/mimosaspool/mimosaspool/internal/resource"
)

// QuotaTracker tracks the usage and quotas of all teams. It isn't safe for
// concurrent use.
type QuotaTracker struct {
	accounts map[string]*account
}

type account struct {
	weight float64
	quota  resource.Vector
	used   resource.Vector
	// unseen is what may be in use without being known.
	unseen resource.Vector
}

// NewQuotaTracker returns a tracker without teams.
func NewQuotaTracker() *QuotaTracker { return &QuotaTracker{accounts: map[string]*account{}} }

func (t *QuotaTracker) account(name string) *account {
	a := t.accounts[name]
	if a == nil {
		a = &account{weight: 1}
		t.accounts[name] = a
	}
	return a
}

// SetQuota sets a team's weight and its quota in this domain; a zero amount means
// no limit. Usage above a lowered quota stays until the tasks end. SetQuota reports
// whether the quota changed.
func (t *QuotaTracker) SetQuota(name string, weight float64, quota resource.Vector) bool {
	a := t.account(name)
	changed := a.quota != quota
	if a.weight, a.quota = weight, quota; weight <= 0 {
		a.weight = 1
	}
	return changed
}

// Names returns the names of all teams in no particular order.
func (t *QuotaTracker) Names() []string { return slices.Collect(maps.Keys(t.accounts)) }

// Allocate adds an amount to the team's usage.
func (t *QuotaTracker) Allocate(name string, size resource.Vector) {
	a := t.account(name)
	a.used = a.used.Add(size)
}

// Release subtracts an amount from the team's usage.
func (t *QuotaTracker) Release(name string, size resource.Vector) {
	a := t.account(name)
	a.used = a.used.Sub(size)
}

// SetUnseen states what may be in use, by team, without being known. It replaces what was
// stated before and counts towards quotas, not towards shares.
func (t *QuotaTracker) SetUnseen(unseen map[string]resource.Vector) {
	for _, a := range t.accounts {
		a.unseen = resource.Vector{}
	}
	for name, amount := range unseen {
		t.account(name).unseen = amount
	}
}

// Allows reports whether the team's quota allows the amount in addition to its usage.
func (t *QuotaTracker) Allows(name string, size resource.Vector) bool {
	a := t.account(name)
	return WithinQuota(a.used.Add(a.unseen).Add(size), a.quota)
}

// WithinQuota reports whether the amount is within a quota, whose amounts of 0 mean no
// limit.
func WithinQuota(amount, quota resource.Vector) bool {
	return withinQuota(amount.MilliCPU, quota.MilliCPU) &&
		withinQuota(amount.MemoryMiB, quota.MemoryMiB) &&
		withinQuota(amount.Accelerators, quota.Accelerators)
}

func withinQuota(used, quota int64) bool { return quota == 0 || used <= quota }

// Used returns the team's usage.
func (t *QuotaTracker) Used(name string) resource.Vector { return t.account(name).used }

// DominantShare returns the team's largest share of the total of any resource,
// divided by its weight. The team with the lowest share is scheduled first, so a
// team may use what others leave idle and yields when they need it.
func (t *QuotaTracker) DominantShare(name string, total resource.Vector) float64 {
	a := t.account(name)
	dominant := max(ratio(a.used.MilliCPU, total.MilliCPU), ratio(a.used.MemoryMiB, total.MemoryMiB), ratio(a.used.Accelerators, total.Accelerators))
	return dominant / a.weight
}

// Unseen returns what the team may have in use without being known.
func (t *QuotaTracker) Unseen(name string) resource.Vector { return t.account(name).unseen }

// Weight returns the team's weight.
func (t *QuotaTracker) Weight(name string) float64 { return t.account(name).weight }

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// SplitQuota returns a domain's part of a team's quota, in proportion to the team's
// demand in the domain and in all domains. The parts never add up to more than
// the quota. A team whose total demand is within its quota has no limit.
func SplitQuota(quota, domainDemand, totalDemand resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     splitAmount(quota.MilliCPU, domainDemand.MilliCPU, totalDemand.MilliCPU),
		MemoryMiB:    splitAmount(quota.MemoryMiB, domainDemand.MemoryMiB, totalDemand.MemoryMiB),
		Accelerators: splitAmount(quota.Accelerators, domainDemand.Accelerators, totalDemand.Accelerators),
	}
}

// zeroQuota is a quota that allows nothing, as 0 means no limit.
const zeroQuota = -1

func splitAmount(quota, domainDemand, totalDemand int64) int64 {
	if quota == 0 || totalDemand <= quota {
		return 0
	}
	if p := quota * domainDemand / totalDemand; p > 0 {
		return p
	}
	return zeroQuota
}
