package scheduler

import (
	"container/heap"
	"slices"
	"sort"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/job"
	"github.com/mimosaspool/mimosaspool/internal/placement"
)

// group holds the waiting tasks of one workload. They share a size and a policy,
// so if the first doesn't fit, the others needn't be tried.
type group struct {
	workload string
	spec     *configuration.Workload
	// version, finished and endedCount identify the catalog state that the group
	// was built from.
	version    int64
	finished   bool
	endedCount int
	// tasks are ordered by waiting time once sorted is set. A task that no longer
	// waits is removed when it reaches the front.
	tasks  []*task
	sorted bool
	// blocked is why the first task could not be placed; empty while the group is
	// active.
	blocked placement.Reason
	// members are all wanted tasks of the workload in this domain, by name.
	members []*task
	// racks counts the workload's bound tasks by rack.
	racks   map[string]int
	profile job.Profile
	// triedStep is the number of the step in which the group last failed to be
	// placed. possibleVersion is the capacity version for which its tasks were
	// found to be possible.
	triedStep, possibleVersion uint64
	// stopping is set while all members of a gang that lost a member are being
	// stopped.
	stopping bool
	// moving is set while a gang is being stopped because it leaves a worker.
	moving bool
	// holds lists the capacity that is held for the group.
	holds []hold
}

// queue holds waiting tasks in three parts: active groups are tried in every
// step, tasks in backoff wait for their time, and blocked groups wait for an
// event that may unblock them.
type queue struct {
	groups  map[string]*group
	active  []*group
	blocked []*group
	backoff backoffHeap
	// unconfirmed holds tasks that may still run on a worker not seen in this
	// term.
	unconfirmed []*task
}

func newQueue() queue { return queue{groups: map[string]*group{}} }

// backoffEntry is a task in backoff until a local time.
type backoffEntry struct {
	until time.Duration
	task  *task
}

// backoffHeap is a heap of tasks by the earliest time of their next start.
type backoffHeap []backoffEntry

func (b backoffHeap) Len() int { return len(b) }
func (b backoffHeap) Less(i, j int) bool {
	if b[i].until != b[j].until {
		return b[i].until < b[j].until
	}
	return b[i].task.name < b[j].task.name
}
func (b backoffHeap) Swap(i, j int) { b[i], b[j] = b[j], b[i] }
func (b *backoffHeap) Push(x any)   { *b = append(*b, x.(backoffEntry)) }
func (b *backoffHeap) Pop() any {
	old := *b
	p := old[len(old)-1]
	*b = old[:len(old)-1]
	return p
}

// enqueue adds a waiting task to its group, or to the backoff heap until its
// time.
func (c *Core) enqueue(t *task) {
	if !t.wanted || t.state != waiting {
		return
	}
	if t.notBefore > c.now {
		if !t.inBackoff {
			t.inBackoff = true
			heap.Push(&c.queue.backoff, backoffEntry{t.notBefore, t})
		}
		return
	}
	g := c.group(t.workload)
	if g == nil {
		return
	}
	if !t.queued {
		t.queued = true
		g.tasks = append(g.tasks, t)
	}
	g.sorted = false
	if g.blocked == "" || g.blocked == placement.GangWaits || g.spec.Urgency == configuration.Urgent {
		c.queue.activate(g, "")
	}
}

// group returns the group of a declared workload.
func (c *Core) group(workload string) *group {
	return c.queue.groups[workload]
}

// activate unblocks a group so that it is tried again. A non-empty reason limits
// this to groups blocked for that reason.
func (q *queue) activate(g *group, reason placement.Reason) {
	if reason != "" && g.blocked != reason {
		return
	}
	if i := slices.Index(q.blocked, g); i >= 0 {
		q.blocked = slices.Delete(q.blocked, i, i+1)
	}
	g.blocked = ""
	if !slices.Contains(q.active, g) {
		q.active = append(q.active, g)
	}
}

// block blocks a group until an event unblocks it.
func (q *queue) block(g *group, why placement.Reason) {
	q.deactivate(g)
	g.blocked = why
	q.blocked = append(q.blocked, g)
}

// deactivate removes a group from the active list.
func (q *queue) deactivate(g *group) {
	if i := slices.Index(q.active, g); i >= 0 {
		q.active = slices.Delete(q.active, i, i+1)
	}
}

// remove removes a group whose workload is gone.
func (q *queue) remove(name string) {
	g := q.groups[name]
	if g == nil {
		return
	}
	q.deactivate(g)
	if i := slices.Index(q.blocked, g); i >= 0 {
		q.blocked = slices.Delete(q.blocked, i, i+1)
	}
	delete(q.groups, name)
}

// head returns the group's first task that may be tried, or nil.
func (c *Core) head(g *group) *task {
	if !g.sorted {
		sort.Slice(g.tasks, func(i, j int) bool { return g.tasks[i].before(g.tasks[j]) })
		g.sorted = true
	}
	for len(g.tasks) > 0 {
		t := g.tasks[0]
		if t.wanted && t.state == waiting && t.notBefore <= c.now && c.mayStart(t) {
			return t
		}
		g.pop()
		if t.wanted && t.state == waiting {
			c.parkTask(t)
		}
	}
	return nil
}

func (g *group) pop() {
	g.tasks[0].queued = false
	g.tasks = g.tasks[1:]
}

// parkTask sets aside a waiting task that may not be tried yet.
func (c *Core) parkTask(t *task) {
	if t.notBefore > c.now {
		c.enqueue(t)
		return
	}
	if !t.inUnconfirmed {
		t.inUnconfirmed = true
		c.queue.unconfirmed = append(c.queue.unconfirmed, t)
	}
}

// wakeDue enqueues tasks whose backoff is over, and unconfirmed ones once they
// certainly run nowhere.
func (c *Core) wakeDue() {
	q := &c.queue
	for len(q.backoff) > 0 && q.backoff[0].until <= c.now {
		t := heap.Pop(&q.backoff).(backoffEntry).task
		t.inBackoff = false
		c.enqueue(t)
	}
	if c.now >= c.retryAt {
		c.retryAt = c.now + replanInterval
		c.retryBlocked()
	}
	if len(q.unconfirmed) == 0 || !c.allSeen() && c.now < c.term.UnseenTasksExpireAt() {
		return
	}
	list := q.unconfirmed
	q.unconfirmed = nil
	for _, t := range list {
		t.inUnconfirmed = false
		c.enqueue(t)
	}
}

// retryBlocked reactivates urgent groups and the first of the other groups, so
// that reserved and held capacity follows newer information.
func (c *Core) retryBlocked() {
	var first *group
	for _, g := range slices.Clone(c.queue.blocked) {
		if !g.awaitsCapacity() || c.head(g) == nil {
			continue
		}
		if g.spec.Urgency == configuration.Urgent {
			c.queue.activate(g, "")
		} else if first == nil || c.before(g, first) {
			first = g
		}
	}
	if first != nil {
		c.queue.activate(first, "")
	}
	for i := range c.reserved {
		if holder := c.reserved[i].holder; holder != nil {
			c.queue.activate(holder, "")
		}
	}
}

// awaitsCapacity reports whether more capacity may unblock the group.
func (g *group) awaitsCapacity() bool {
	switch g.blocked {
	case placement.Quota, placement.Impossible, placement.GangTooLarge, placement.GangSplit, placement.GangWaits:
		return false
	}
	return true
}

// activateAll reactivates every blocked group.
func (q *queue) activateAll() {
	for _, g := range slices.Clone(q.blocked) {
		q.activate(g, "")
	}
}

// wakeTeam reactivates groups blocked by the quota of a team that holds less than
// before.
func (c *Core) wakeTeam(team string) {
	for i := 0; i < len(c.queue.blocked); {
		if g := c.queue.blocked[i]; g.blocked == placement.Quota && g.spec.Team == team {
			c.queue.activate(g, placement.Quota)
			continue
		}
		i++
	}
}

// addFreedNode records that a node may accept something that it refused before.
func (c *Core) addFreedNode(n *placement.Node) {
	c.freedNodes = append(c.freedNodes, n)
}

// nextForFreedNode returns the first of the blocked groups whose next task fits a
// freed node, or nil if no freed node helps any group. A group that failed to be
// placed in this step isn't tried again in it.
func (c *Core) nextForFreedNode() *group {
	for len(c.freedNodes) > 0 {
		n := c.freedNodes[len(c.freedNodes)-1]
		var best *group
		for _, g := range c.queue.blocked {
			if g.triedStep == c.placementStep || !g.awaitsCapacity() || best != nil && !c.before(g, best) {
				continue
			}
			if c.couldFit(g, n) && !c.blockedByOrder(g) {
				best = g
			}
		}
		if best != nil {
			c.queue.activate(best, "")
			return best
		}
		c.freedNodes = c.freedNodes[:len(c.freedNodes)-1]
	}
	return nil
}

// Penalties on the waiting time by which groups are ordered.
const (
	// lowUrgencyPenalty is how much later low-urgency work counts as having
	// arrived.
	lowUrgencyPenalty = 30 * time.Second
	// teamSharePenalty is the same for a team that holds all of the scarcest
	// resource.
	teamSharePenalty = 2 * time.Minute
)

// before orders groups: urgent ones first, then the one that has waited longest.
// Low-urgency work and work of teams with a large share count as having arrived
// later.
func (c *Core) before(a, b *group) bool {
	if c.rulesFor(a).FIFO {
		return a.first().before(b.first())
	}
	if x, y := a.spec.Urgency == configuration.Urgent, b.spec.Urgency == configuration.Urgent; x != y {
		return x
	}
	x, y := c.queueTime(a), c.queueTime(b)
	if x != y {
		return x < y
	}
	return a.workload < b.workload
}

// queueTime returns the time at which the group counts as having arrived.
func (c *Core) queueTime(g *group) time.Duration {
	at := g.first().waitingSince
	if at == never {
		return never
	}
	if g.spec.Urgency == configuration.Low {
		at += lowUrgencyPenalty
	}
	return at + time.Duration(c.quotas.DominantShare(g.spec.Team, c.cell.Total())*float64(teamSharePenalty))
}

// noTask stands in for the first task of an empty group, which goes last.
var noTask = &task{waitingSince: never}

func (g *group) first() *task {
	if len(g.tasks) == 0 {
		return noTask
	}
	return g.tasks[0]
}

// nextGroup returns the group to try first, or nil.
func (c *Core) nextGroup() *group {
	var best *group
	for i := 0; i < len(c.queue.active); {
		g := c.queue.active[i]
		if c.head(g) == nil {
			c.queue.deactivate(g)
			continue
		}
		if best == nil || c.before(g, best) {
			best = g
		}
		i++
	}
	return best
}

// maxPlacementsPerStep bounds the tasks placed in one step, so that a step stays
// short when many wait. The next event continues.
const maxPlacementsPerStep = 512

// placeWaiting places waiting tasks in order.
func (c *Core) placeWaiting() {
	c.wakeDue()
	for range maxPlacementsPerStep {
		g := c.nextGroup()
		if g == nil || c.blockedByOrder(g) {
			g = c.nextForFreedNode()
		}
		if g == nil {
			return
		}
		c.place(g, g.tasks[0])
	}
}

// blockedByOrder reports whether the rules require FIFO order and an earlier
// group could not be placed.
func (c *Core) blockedByOrder(g *group) bool {
	if !c.rulesFor(g).FIFO {
		return false
	}
	return slices.ContainsFunc(c.queue.blocked, func(b *group) bool {
		return b.awaitsCapacity() && c.head(b) != nil && b.first().before(g.first())
	})
}

// urgencyRank orders urgencies. A higher rank goes first.
func urgencyRank(u configuration.Urgency) int {
	switch u {
	case configuration.Urgent:
		return 2
	case configuration.Low:
		return 0
	}
	return 1
}
