package upkeep

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

const (
	// shortTime is how long work must have waited for room before a machine on
	// standby is moved to its pool.
	shortTime = 5 * time.Second
	// idleTime is how long a moved machine must be idle before it goes back.
	idleTime = 30 * time.Second
	// moveEvery is the least time between two moves to a pool beside a move's own.
	moveEvery = 5 * time.Second
	// movesPerSpan bounds the moves of all machines within moveSpan.
	movesPerSpan = 6
	moveSpan     = time.Minute
	// moveLook is how often shortages are looked for.
	moveLook = time.Second
)

type pair struct{ machine, pool string }

// moves is what is known of moves from and to pools on standby.
type moves struct {
	// homes are the pools on standby that machines were taken from.
	homes map[string]string
	// wrong are the moves that the platform never carries out.
	wrong     map[pair]bool
	notBefore map[string]time.Duration
	// next is when a pool may get another machine.
	next map[string]time.Duration
	// begun are the times of the newest moves.
	begun  []time.Duration
	lookAt time.Duration
	// wanted tells that work waits for room.
	wanted bool
}

func newMoves() moves {
	return moves{homes: map[string]string{}, wrong: map[pair]bool{}, notBefore: map[string]time.Duration{}, next: map[string]time.Duration{}}
}

func (s *moves) restore(homes map[string]string) {
	for m, home := range homes {
		s.homes[m] = home
	}
}

// standby reports whether any pool is on standby.
func (c *Core) standby() bool {
	for _, p := range c.pools {
		if p.Standby {
			return true
		}
	}
	return false
}

// pursueMoves moves machines to where work waits, and back when they are idle.
func (c *Core) pursueMoves() {
	s := &c.moves
	if c.now < s.lookAt || len(c.moves.homes) == 0 && !c.standby() {
		return
	}
	s.lookAt = c.now + moveLook
	shortages := c.facts.Shortages(shortTime)
	s.wanted = len(shortages) > 0
	short := map[string]bool{}
	for _, x := range shortages {
		short[x.Pool] = true
		c.relieve(x)
	}
	for _, m := range c.sortedMachines() {
		c.sendHome(m, short)
	}
}

// mayMove reports whether the bound on moves allows one more.
func (c *Core) mayMove() bool {
	s := &c.moves
	s.begun = slices.DeleteFunc(s.begun, func(at time.Duration) bool { return c.now-at >= moveSpan })
	return len(s.begun) < movesPerSpan
}

// relieve moves one fitting machine on standby to a pool.
func (c *Core) relieve(x Shortage) {
	s := &c.moves
	if p, ok := c.pools[x.Pool]; !ok || p.Standby || c.now < s.next[x.Pool] || !c.mayMove() {
		return
	}
	kinds := c.kinds(x.Pool)
	for _, m := range c.sortedMachines() {
		if c.fits(m, x, kinds) {
			s.homes[m.Name] = m.Pool
			s.next[x.Pool] = c.now + c.set.MoveTime + moveEvery
			s.begun = append(s.begun, c.now)
			c.begin(m, &errand{pool: x.Pool, by: c.now})
			return
		}
	}
}

// kinds returns the kinds of the machines that a pool has.
func (c *Core) kinds(pool string) map[string]bool {
	kinds := map[string]bool{}
	for _, m := range c.machines {
		if m.present && m.Pool == pool && len(m.Labels) > 0 {
			kinds[m.Labels[0]] = true
		}
	}
	return kinds
}

func (c *Core) fits(m *machine, x Shortage, kinds map[string]bool) bool {
	s := &c.moves
	switch {
	case !m.present || m.errand != nil || !c.pools[m.Pool].Standby || m.State == worker.MachineMoving || m.State == worker.MachineUpkeep:
		return false
	case s.wrong[pair{m.Name, x.Pool}] || c.now < s.notBefore[m.Name] || c.inWave(m.Name):
		return false
	case !x.Size.Within(m.Capacity) || x.Requires != "" && !slices.Contains(m.Labels, x.Requires):
		return false
	}
	return len(kinds) == 0 || len(m.Labels) == 0 || kinds[m.Labels[0]]
}

// inWave reports whether an open wave is to send the machine into upkeep.
func (c *Core) inWave(name string) bool {
	for _, w := range c.waves {
		if slices.Contains(w.Machines, name) {
			return true
		}
	}
	return false
}

// sendHome moves a machine back that has been idle. Waves need the room of
// machines that are not in upkeep: while one is open none goes back.
func (c *Core) sendHome(m *machine, short map[string]bool) {
	s := &c.moves
	home, ok := s.homes[m.Name]
	if !ok || m.errand != nil || !m.present {
		return
	}
	if m.Pool == home || !c.pools[home].Standby && c.pools != nil {
		c.unmove(m)
		return
	}
	if m.State != worker.MachineUp || m.Worker == "" || short[m.Pool] || !c.facts.Idle(m.Worker) {
		m.idleFrom = 0
		return
	}
	if m.idleFrom == 0 {
		m.idleFrom = c.now
	}
	if c.now-m.idleFrom < idleTime || len(c.waves) > 0 || c.now < s.notBefore[m.Name] || s.wrong[pair{m.Name, home}] || !c.mayMove() {
		return
	}
	s.begun = append(s.begun, c.now)
	c.begin(m, &errand{pool: home, by: c.now + c.set.StopTimeout})
}

// unmove forgets where a machine was taken from if it is there, or never left.
func (c *Core) unmove(m *machine) {
	home, ok := c.moves.homes[m.Name]
	if !ok || m.Pool != home && c.pools[home].Standby {
		return
	}
	delete(c.moves.homes, m.Name)
	c.records.homes[m.Name] = ""
}
