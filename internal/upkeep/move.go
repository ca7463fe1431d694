package upkeep

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
)

const (
	// shortageDelay is how long work must have waited for capacity before a standby
	// machine is moved to its pool.
	shortageDelay = 5 * time.Second
	// returnIdleTime is how long a moved machine must be idle before it is moved back.
	returnIdleTime = 30 * time.Second
	// minMoveInterval is the minimum time between two moves to the same pool, in
	// addition to the duration of a move.
	minMoveInterval = 5 * time.Second
	// maxMovesPerWindow bounds the moves of all machines within moveWindow.
	maxMovesPerWindow = 6
	moveWindow        = time.Minute
	// shortagePollInterval is how often the core checks for shortages.
	shortagePollInterval = time.Second
)

type moveKey struct{ machine, pool string }

// moves is the state of moves from and to standby pools.
type moves struct {
	// homePools are the standby pools that machines were taken from, by machine.
	homePools map[string]string
	// invalid holds the moves that the platform will never execute.
	invalid map[moveKey]bool
	retryAt map[string]time.Duration
	// nextMove is when a pool may get another machine.
	nextMove map[string]time.Duration
	// startTimes are the start times of the moves within moveWindow.
	startTimes []time.Duration
	nextPoll   time.Duration
	// hasShortage is set if work waits for capacity.
	hasShortage bool
}

func newMoves() moves {
	return moves{homePools: map[string]string{}, invalid: map[moveKey]bool{}, retryAt: map[string]time.Duration{}, nextMove: map[string]time.Duration{}}
}

func (s *moves) restore(homePools map[string]string) {
	for m, home := range homePools {
		s.homePools[m] = home
	}
}

// hasStandbyPool reports whether there is a standby pool.
func (c *Core) hasStandbyPool() bool {
	for _, p := range c.pools {
		if p.Standby {
			return true
		}
	}
	return false
}

// advanceMoves moves standby machines to pools with a shortage, and back when they
// are idle.
func (c *Core) advanceMoves() {
	s := &c.moves
	if c.now < s.nextPoll || len(c.moves.homePools) == 0 && !c.hasStandbyPool() {
		return
	}
	s.nextPoll = c.now + shortagePollInterval
	shortages := c.dispatcher.Shortages(shortageDelay)
	s.hasShortage = len(shortages) > 0
	shortPools := map[string]bool{}
	for _, shortage := range shortages {
		shortPools[shortage.Pool] = true
		c.moveForShortage(shortage)
	}
	for _, m := range c.sortedMachines() {
		c.returnIfIdle(m, shortPools)
	}
}

// moveAllowed reports whether maxMovesPerWindow allows another move.
func (c *Core) moveAllowed() bool {
	s := &c.moves
	s.startTimes = slices.DeleteFunc(s.startTimes, func(at time.Duration) bool { return c.now-at >= moveWindow })
	return len(s.startTimes) < maxMovesPerWindow
}

// moveForShortage moves a suitable standby machine to the pool of a shortage.
func (c *Core) moveForShortage(shortage Shortage) {
	s := &c.moves
	if p, ok := c.pools[shortage.Pool]; !ok || p.Standby || c.now < s.nextMove[shortage.Pool] || !c.moveAllowed() {
		return
	}
	kinds := c.machineKinds(shortage.Pool)
	for _, m := range c.sortedMachines() {
		if c.isCandidate(m, shortage, kinds) {
			s.homePools[m.Name] = m.Pool
			s.nextMove[shortage.Pool] = c.now + c.settings.MoveTime + minMoveInterval
			s.startTimes = append(s.startTimes, c.now)
			c.beginOperation(m, &operation{pool: shortage.Pool, evacuateBy: c.now})
			return
		}
	}
}

// machineKinds returns the kinds of the machines in a pool.
func (c *Core) machineKinds(pool string) map[string]bool {
	kinds := map[string]bool{}
	for _, m := range c.machines {
		if m.listed && m.Pool == pool && len(m.Labels) > 0 {
			kinds[m.Labels[0]] = true
		}
	}
	return kinds
}

func (c *Core) isCandidate(m *machine, shortage Shortage, kinds map[string]bool) bool {
	s := &c.moves
	switch {
	case !m.listed || m.operation != nil || !c.pools[m.Pool].Standby || m.State == worker.MachineMoving || m.State == worker.MachineMaintenance:
		return false
	case s.invalid[moveKey{m.Name, shortage.Pool}] || c.now < s.retryAt[m.Name] || c.inWave(m.Name):
		return false
	case !shortage.Size.FitsIn(m.Capacity) || shortage.Requires != "" && !slices.Contains(m.Labels, shortage.Requires):
		return false
	}
	return len(kinds) == 0 || len(m.Labels) == 0 || kinds[m.Labels[0]]
}

// inWave reports whether the machine belongs to an open wave.
func (c *Core) inWave(name string) bool {
	for _, w := range c.waves {
		if slices.Contains(w.Machines, name) {
			return true
		}
	}
	return false
}

// returnIfIdle moves an idle machine back to its home pool. While a wave is open no
// machine is moved back, because waves need the capacity of the machines that are
// not in maintenance.
func (c *Core) returnIfIdle(m *machine, shortPools map[string]bool) {
	s := &c.moves
	home, ok := s.homePools[m.Name]
	if !ok || m.operation != nil || !m.listed {
		return
	}
	if m.Pool == home || !c.pools[home].Standby && c.pools != nil {
		c.forgetHomePool(m)
		return
	}
	if m.State != worker.MachineUp || m.Worker == "" || shortPools[m.Pool] || !c.dispatcher.Idle(m.Worker) {
		m.idleSince = 0
		return
	}
	if m.idleSince == 0 {
		m.idleSince = c.now
	}
	if c.now-m.idleSince < returnIdleTime || len(c.waves) > 0 || c.now < s.retryAt[m.Name] || s.invalid[moveKey{m.Name, home}] || !c.moveAllowed() {
		return
	}
	s.startTimes = append(s.startTimes, c.now)
	c.beginOperation(m, &operation{pool: home, evacuateBy: c.now + c.settings.StopTimeout})
}

// forgetHomePool forgets the home pool of a machine that is back in it or never left
// it, or whose home pool is no longer a standby pool.
func (c *Core) forgetHomePool(m *machine) {
	home, ok := c.moves.homePools[m.Name]
	if !ok || m.Pool != home && c.pools[home].Standby {
		return
	}
	delete(c.moves.homePools, m.Name)
	c.records.homePools[m.Name] = ""
}
