package team

// guaranteedDivisor is the divisor of a room's limit that gives the part which is guaranteed
// to accounts.
const guaranteedDivisor = 2

// Room divides a limited amount among accounts. Half of it is guaranteed to them in proportion
// to their weights; the rest is for whoever needs more. The empty name stands for what belongs
// to no account, which has a weight of 1. A Room isn't safe for concurrent use.
type Room struct {
	limit   int64
	weights map[string]float64
	// sum is the sum of the weights, 1 for no account included.
	sum   float64
	held  map[string]int64
	total int64
}

// NewRoom returns a room without accounts of which nothing is held. A limit of 0 means none.
func NewRoom(limit int64) *Room {
	return &Room{limit: limit, sum: 1, held: map[string]int64{}}
}

// SetLimit changes the limit. What is held above it stays.
func (r *Room) SetLimit(limit int64) { r.limit = limit }

// SetWeights replaces the accounts by those given with their weights, of which 0 or less counts
// as 1. What others hold is not guaranteed to them.
func (r *Room) SetWeights(weights map[string]float64) {
	r.weights, r.sum = make(map[string]float64, len(weights)), 1
	for name, w := range weights {
		if w <= 0 {
			w = 1
		}
		r.weights[name] = w
		r.sum += w
	}
}

// Hold adds to what an account holds; n may be below 0.
func (r *Room) Hold(account string, n int64) {
	r.total += n
	if r.held[account] += n; r.held[account] == 0 {
		delete(r.held, account)
	}
}

// Held returns what all accounts hold together.
func (r *Room) Held() int64 { return r.total }

func (r *Room) guaranteed(account string) int64 {
	w, known := r.weights[account]
	if account == "" {
		w, known = 1, true
	}
	if !known {
		return 0
	}
	return int64(float64(r.limit/guaranteedDivisor) * (w / r.sum))
}

// Left returns how much more the account may hold, 0 or more: what is left of its guaranteed
// part and of the part that is guaranteed to nobody.
func (r *Room) Left(account string) int64 {
	shared := r.limit - r.limit/guaranteedDivisor
	for name, held := range r.held {
		shared -= max(0, held-r.guaranteed(name))
	}
	return max(0, shared) + max(0, r.guaranteed(account)-r.held[account])
}

// Allows reports whether the account may hold so much more.
func (r *Room) Allows(account string, n int64) bool {
	// While all accounts together hold less than the shared part, nobody has to be asked.
	return r.Unlimited() || r.total+n <= r.limit-r.limit/guaranteedDivisor || n <= r.Left(account)
}

// Unlimited reports whether the room has no limit.
func (r *Room) Unlimited() bool { return r.limit <= 0 }
