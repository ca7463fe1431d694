package routing

// queue holds a service's waiting requests. Teams take turns; within a team the
// earliest deadline comes first.
type queue struct {
	teams  heap[*team]
	byName map[string]*team
	size   int
	// turn is the turn of the team that was last served.
	turn uint64
}

// team is a team with waiting requests.
type team struct {
	name     string
	requests heap[*request]
	// turn rises by one for each request served.
	turn uint64
	pos  int
}

func (t *team) place() *int { return &t.pos }

func (t *team) before(o *team) bool {
	if t.turn != o.turn {
		return t.turn < o.turn
	}
	return t.name < o.name
}

func newQueue() queue { return queue{byName: map[string]*team{}} }

func (q *queue) push(r *request) {
	t := q.byName[r.Team]
	if t == nil {
		t = &team{name: r.Team, turn: q.turn + 1}
		q.byName[r.Team] = t
		q.teams.push(t)
	}
	t.requests.push(r)
	q.size++
}

func (q *queue) remove(r *request) {
	t := q.byName[r.Team]
	if t == nil || r.queuePos == 0 {
		return
	}
	t.requests.remove(r)
	q.size--
	if t.requests.len() == 0 {
		q.teams.remove(t)
		delete(q.byName, t.name)
	}
}

// first returns the request whose turn it is, or nil.
func (q *queue) first() *request {
	if q.size == 0 {
		return nil
	}
	return q.teams.list[0].requests.list[0]
}

// serve removes r and ends its team's turn.
func (q *queue) serve(r *request) {
	t := q.byName[r.Team]
	q.turn = t.turn
	t.turn++
	q.teams.move(t)
	q.remove(r)
}

// ahead returns how many waiting requests come before a new one of the team.
func (q *queue) ahead(name string) int {
	own, teams := 0, q.teams.len()
	if t := q.byName[name]; t != nil {
		own = t.requests.len()
	} else {
		teams++
	}
	return min(q.size, own*teams+teams-1)
}

// displaced returns a request of the team with the most waiting ones, if it has
// at least two more than the given team.
func (q *queue) displaced(name string) *request {
	var most *team
	for _, t := range q.teams.list {
		if most == nil || t.requests.len() > most.requests.len() || t.requests.len() == most.requests.len() && t.name < most.name {
			most = t
		}
	}
	own := 0
	if t := q.byName[name]; t != nil {
		own = t.requests.len()
	}
	if most == nil || most.requests.len() < own+2 {
		return nil
	}
	return most.requests.list[most.requests.len()-1]
}
