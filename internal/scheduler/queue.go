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

// group holds the waiting tasks of one workload. They share a size and a
// policy, so when the first finds no place the others needn't be tried.
type group struct {
	workload string
	spec     *configuration.Workload
	// version and ended tell what of the catalog the group was made from.
	version  int64
	finished bool
	ended    int
	// tasks are in order of waiting time once sorted. A task that no longer
	// waits is dropped when it comes up.
	tasks  []*task
	sorted bool
	// blocked is why the first task found no place; empty while the group is active.
	blocked placement.Reason
	// members are all wanted tasks of the workload in this domain, by name.
	members []*task
	// racks counts the workload's bound tasks by rack.
	racks   map[string]int
	profile job.Profile
	// triedIn is the number of the step in which the group last found no place,
	// and possible that of the shapes for which its tasks were found to be possible.
	triedIn, possible uint64
	// stopping is set while a gang that lost a member is stopped whole.
	stopping bool
	// parting is set while a gang is stopped because it leaves a worker.
	parting bool
	// holds lists the room that is kept for the group.
	holds []hold
}

// queue holds waiting tasks in three parts: active groups are tried in every
// step, tasks in backoff wait for their time, and blocked groups wait for an
// event that may let them through.
type queue struct {
	groups  map[string]*group
	active  []*group
	blocked []*group
	backoff backoff
	// unsure holds tasks that may still run somewhere unseen.
	unsure []*task
}

func newQueue() queue { return queue{groups: map[string]*group{}} }

// pause is a task in backoff, until a local time.
type pause struct {
	until time.Duration
	task  *task
}

// backoff is a heap of tasks by the earliest time of their next start.
type backoff []pause

func (b backoff) Len() int { return len(b) }
func (b backoff) Less(i, j int) bool {
	if b[i].until != b[j].until {
		return b[i].until < b[j].until
	}
	return b[i].task.name < b[j].task.name
}
func (b backoff) Swap(i, j int) { b[i], b[j] = b[j], b[i] }
func (b *backoff) Push(x any)   { *b = append(*b, x.(pause)) }
func (b *backoff) Pop() any {
	old := *b
	p := old[len(old)-1]
	*b = old[:len(old)-1]
	return p
}

// enqueue lists a waiting task in its group, or in backoff until its time.
func (c *Core) enqueue(t *task) {
	if !t.wanted || t.state != waiting {
		return
	}
	if t.notBefore > c.now {
		if !t.backing {
			t.backing = true
			heap.Push(&c.queue.backoff, pause{t.notBefore, t})
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

// activate has a group tried again. The reason limits it to groups that are
// blocked for it; empty is any.
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

// block sets a group aside until an event lets it through.
func (q *queue) block(g *group, why placement.Reason) {
	q.leave(g)
	g.blocked = why
	q.blocked = append(q.blocked, g)
}

// leave takes a group out of the active part.
func (q *queue) leave(g *group) {
	if i := slices.Index(q.active, g); i >= 0 {
		q.active = slices.Delete(q.active, i, i+1)
	}
}

// drop forgets a group whose workload is gone.
func (q *queue) drop(name string) {
	g := q.groups[name]
	if g == nil {
		return
	}
	q.leave(g)
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
			c.putAside(t)
		}
	}
	return nil
}

func (g *group) pop() {
	g.tasks[0].queued = false
	g.tasks = g.tasks[1:]
}

// putAside lists a waiting task that may not be tried yet.
func (c *Core) putAside(t *task) {
	if t.notBefore > c.now {
		c.enqueue(t)
		return
	}
	if !t.unsure {
		t.unsure = true
		c.queue.unsure = append(c.queue.unsure, t)
	}
}

// wakeTimed lets tasks through whose backoff is over, and unsure ones once
// they surely run nowhere.
func (c *Core) wakeTimed() {
	q := &c.queue
	for len(q.backoff) > 0 && q.backoff[0].until <= c.now {
		t := heap.Pop(&q.backoff).(pause).task
		t.backing = false
		c.enqueue(t)
	}
	if c.now >= c.retryAt {
		c.retryAt = c.now + reserveInterval
		c.retry()
	}
	if len(q.unsure) == 0 || !c.allSeen() && c.now < c.term.HiddenUntil() {
		return
	}
	list := q.unsure
	q.unsure = nil
	for _, t := range list {
		t.unsure = false
		c.enqueue(t)
	}
}

// retry has urgent groups and the first of the others tried again, so that the
// room kept for them follows what became known since.
func (c *Core) retry() {
	var first *group
	for _, g := range slices.Clone(c.queue.blocked) {
		if !g.awaitsRoom() || c.head(g) == nil {
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

// awaitsRoom reports whether capacity may let the blocked group through.
func (g *group) awaitsRoom() bool {
	switch g.blocked {
	case placement.Quota, placement.Impossible, placement.GangTooLarge, placement.GangSplit, placement.GangWaits:
		return false
	}
	return true
}

// activateAll has every blocked group tried again.
func (q *queue) activateAll() {
	for _, g := range slices.Clone(q.blocked) {
		q.activate(g, "")
	}
}

// wakeTeam lets groups through whose team holds less than before.
func (c *Core) wakeTeam(team string) {
	for i := 0; i < len(c.queue.blocked); {
		if g := c.queue.blocked[i]; g.blocked == placement.Quota && g.spec.Team == team {
			c.queue.activate(g, placement.Quota)
			continue
		}
		i++
	}
}

// wakeFreed notes that a node may take something that it did not take before.
func (c *Core) wakeFreed(n *placement.Node) {
	c.freed = append(c.freed, n)
}

// nextFreed returns the first of the blocked groups whose next task a freed
// node can take, or nil when there is none for any freed node. A group that
// found no place in this step isn't tried again in it.
func (c *Core) nextFreed() *group {
	for len(c.freed) > 0 {
		n := c.freed[len(c.freed)-1]
		var best *group
		for _, g := range c.queue.blocked {
			if g.triedIn == c.steps || !g.awaitsRoom() || best != nil && !c.before(g, best) {
				continue
			}
			if c.mayHelp(g, n) && !c.heldBack(g) {
				best = g
			}
		}
		if best != nil {
			c.queue.activate(best, "")
			return best
		}
		c.freed = c.freed[:len(c.freed)-1]
	}
	return nil
}

// What the order of groups weighs against waiting time.
const (
	// lowPenalty is how much later low work counts as having come.
	lowPenalty = 30 * time.Second
	// sharePenalty is the same for a team that holds all of the scarcest resource.
	sharePenalty = 2 * time.Minute
)

// before orders groups: urgent ones first, then the one that has waited longest,
// where low work and that of teams with a large share count as having come later.
func (c *Core) before(a, b *group) bool {
	if c.rulesOf(a).InOrder {
		return a.first().before(b.first())
	}
	if x, y := a.spec.Urgency == configuration.Urgent, b.spec.Urgency == configuration.Urgent; x != y {
		return x
	}
	x, y := c.standing(a), c.standing(b)
	if x != y {
		return x < y
	}
	return a.workload < b.workload
}

// standing returns the time at which the group counts as having come.
func (c *Core) standing(g *group) time.Duration {
	at := g.first().since
	if at == never {
		return never
	}
	if g.spec.Urgency == configuration.Low {
		at += lowPenalty
	}
	return at + time.Duration(c.ledger.DominantShare(g.spec.Team, c.cell.Total())*float64(sharePenalty))
}

// noTask stands for the first task of a group without any; it goes last.
var noTask = &task{since: never}

func (g *group) first() *task {
	if len(g.tasks) == 0 {
		return noTask
	}
	return g.tasks[0]
}

// next returns the group to try first, or nil.
func (c *Core) next() *group {
	var best *group
	for i := 0; i < len(c.queue.active); {
		g := c.queue.active[i]
		if c.head(g) == nil {
			c.queue.leave(g)
			continue
		}
		if best == nil || c.before(g, best) {
			best = g
		}
		i++
	}
	return best
}

// placeMost bounds the tasks placed in one step, so that a step stays short
// when many wait; the next event goes on.
const placeMost = 512

// placeWaiting places what waits, in order.
func (c *Core) placeWaiting() {
	c.wakeTimed()
	for range placeMost {
		g := c.next()
		if g == nil || c.heldBack(g) {
			g = c.nextFreed()
		}
		if g == nil {
			return
		}
		c.place(g, g.tasks[0])
	}
}

// heldBack reports whether the rules keep work in order and an earlier group
// found no place.
func (c *Core) heldBack(g *group) bool {
	if !c.rulesOf(g).InOrder {
		return false
	}
	return slices.ContainsFunc(c.queue.blocked, func(b *group) bool {
		return b.awaitsRoom() && c.head(b) != nil && b.first().before(g.first())
	})
}

// urgencyRank orders urgencies; a higher rank goes first.
func urgencyRank(u configuration.Urgency) int {
	switch u {
	case configuration.Urgent:
		return 2
	case configuration.Low:
		return 0
	}
	return 1
}
