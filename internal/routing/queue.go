package routing

// queue holds the waiting requests of a service. Teams are served in turn;
// within a team, the request with the earliest deadline is first.
type queue struct {
	teams  heap[*teamQueue]
	byName map[string]*teamQueue
	size   int
	// virtualTime is that of the team that was served last.
	virtualTime uint64
}

// teamQueue holds the waiting requests of one team.
type teamQueue struct {
	name     string
	requests heap[*request]
	// virtualTime increases by one for each request served.
	virtualTime uint64
	index       int
}

func (t *teamQueue) heapIndex() *int { return &t.index }

func (t *teamQueue) less(o *teamQueue) bool {
	if t.virtualTime != o.virtualTime {
		return t.virtualTime < o.virtualTime
	}
	return t.name < o.name
}

func newQueue() queue { return queue{byName: map[string]*teamQueue{}} }

func (q *queue) push(r *request) {
	t := q.byName[r.Team]
	if t == nil {
		t = &teamQueue{name: r.Team, virtualTime: q.virtualTime + 1}
		q.byName[r.Team] = t
		q.teams.push(t)
	}
	t.requests.push(r)
	q.size++
}

func (q *queue) remove(r *request) {
	t := q.byName[r.Team]
	if t == nil || r.queueIndex == 0 {
		return
	}
	t.requests.remove(r)
	q.size--
	if t.requests.len() == 0 {
		q.teams.remove(t)
		delete(q.byName, t.name)
	}
}

// peek returns the next request to serve, or nil if the queue is empty.
func (q *queue) peek() *request {
	if q.size == 0 {
		return nil
	}
	return q.teams.items[0].requests.items[0]
}

// take removes r and advances its team's virtual time.
func (q *queue) take(r *request) {
	t := q.byName[r.Team]
	q.virtualTime = t.virtualTime
	t.virtualTime++
	q.teams.update(t)
	q.remove(r)
}

// requestsAhead returns the number of waiting requests that would be served
// before a new request of the team.
func (q *queue) requestsAhead(name string) int {
	own, teams := 0, q.teams.len()
	if t := q.byName[name]; t != nil {
		own = t.requests.len()
	} else {
		teams++
	}
	return min(q.size, own*teams+teams-1)
}

// evictionCandidate returns a request of the team with the most waiting
// requests, or nil if that team does not have at least two more than the given
// team.
func (q *queue) evictionCandidate(name string) *request {
	var longest *teamQueue
	for _, t := range q.teams.items {
		if longest == nil || t.requests.len() > longest.requests.len() || t.requests.len() == longest.requests.len() && t.name < longest.name {
			longest = t
		}
	}
	own := 0
	if t := q.byName[name]; t != nil {
		own = t.requests.len()
	}
	if longest == nil || longest.requests.len() < own+2 {
		return nil
	}
	return longest.requests.items[longest.requests.len()-1]
}
