package intake

import (
	"math"
	"sync"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/team"
)

// ReasonJobTableFull is the reason of refusals of jobs for which there is no memory.
const ReasonJobTableFull = "job-table-full"

const (
	// maxJobShare is the divisor of what is left to an account that gives the largest job that
	// is accepted, so that small jobs are still accepted after large ones are refused.
	maxJobShare = 4
	// settleTime is how long a record without a reply may take until it is read back.
	settleTime = 10 * time.Second
	// uncountedDivisor is the divisor of the limit that gives the room for the jobs that hosts
	// write without the leader, and again for those that a new leader writes before it knows all
	// earlier ones. Nobody sums these up until they are read back.
	uncountedDivisor = 16
	// smallJob is the size of a job, in bytes, of which each host may write one without the
	// leader however many hosts there are.
	smallJob = 16 << 10
	// freedWindow is the time constant over which freed memory is averaged.
	freedWindow = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay that refused callers are told.
	minRetryAfter, maxRetryAfter = time.Second, 30 * time.Second
)

// JobRoom bounds the memory of accepted jobs: those in the table of a node, and those that are
// being written. It may be used concurrently.
type JobRoom struct {
	mu   sync.Mutex
	room *team.Room
	// reservations holds the jobs that are being written by ID, reserved is their sum.
	reservations map[string]*reservation
	limit        int64
	// uncounted is the sum of the reservations that the leader may not know of.
	uncounted int64
	// freed is the decaying sum of the memory freed, as of freedAt.
	freed   float64
	freedAt time.Time
}

// reservation is the memory of a job that is not in the table.
type reservation struct {
	account   string
	bytes     int64
	uncounted bool
	// writers counts the writes of the job that are in progress.
	writers int
	// expires is when a job without a write in progress is given up, if it was written or may
	// have been; zero if it was not.
	expires time.Time
}

// NewJobRoom returns an empty room for a number of bytes; 0 means no limit.
func NewJobRoom(limit int64) *JobRoom {
	r := &JobRoom{room: team.NewRoom(0), reservations: map[string]*reservation{}}
	r.SetLimit(limit)
	return r
}

// SetLimit changes the limit in bytes; 0 means none.
func (r *JobRoom) SetLimit(limit int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
	r.room.SetLimit(limit - 2*(limit/uncountedDivisor))
}

// SetWeights replaces the accounts among which the room is divided, see team.Room.
func (r *JobRoom) SetWeights(weights map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.SetWeights(weights)
}

// Held returns the bytes of the jobs in the table and of those that are being written.
func (r *JobRoom) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.room.Held()
}

// Change adds to the memory of an account's jobs in the table; n may be below 0.
func (r *JobRoom) Change(account string, n int64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Hold(account, n)
	if n < 0 {
		r.freed = r.freedBy(now) - float64(n)
		r.freedAt = now
	}
}

func (r *JobRoom) freedBy(now time.Time) float64 {
	return r.freed * math.Exp(-now.Sub(r.freedAt).Seconds()/freedWindow.Seconds())
}

// Reserve reserves memory for a job that is about to be written, until Release or Applied. It
// returns a *RejectedError if there is too little left for the account.
func (r *JobRoom) Reserve(id, account string, bytes int64, now time.Time) *RejectedError {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if x := r.reservations[id]; x != nil {
		x.writers++
		return nil
	}
	if left := r.room.Left(account); !r.room.Unlimited() && bytes > left/maxJobShare {
		return &RejectedError{Reason: ReasonJobTableFull, RetryAfter: r.retryAfter(bytes*maxJobShare-left, now)}
	}
	r.reservations[id] = &reservation{account: account, bytes: bytes, writers: 1}
	r.room.Hold(account, bytes)
	return nil
}

// retryAfter estimates when so many more bytes will be free.
func (r *JobRoom) retryAfter(missing int64, now time.Time) time.Duration {
	perSecond := r.freedBy(now) / freedWindow.Seconds()
	wait := float64(missing) / max(perSecond, 1)
	return min(max(time.Duration(min(wait, maxRetryAfter.Seconds())*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// AllowUncounted reports whether the reserved job may be written though nobody sums up what
// so many hosts, this one included, write at the same time.
func (r *JobRoom) AllowUncounted(id string, hosts int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.reservations[id]
	if x == nil || x.uncounted || r.room.Unlimited() {
		return true
	}
	// A single job is allowed whatever its size, as far as all hosts together may have one.
	single := r.uncounted == 0 && (hosts <= 1 || x.bytes <= smallJob)
	if r.uncounted+x.bytes > r.limit/uncountedDivisor/int64(max(hosts, 1)) && !single {
		return false
	}
	x.uncounted = true
	r.uncounted += x.bytes
	return true
}

// Release ends a write of a reserved job. mayBeWritten tells whether the job was written or
// may have been; its memory then stays reserved until it is read back.
func (r *JobRoom) Release(id string, mayBeWritten bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.reservations[id]
	if x == nil {
		return
	}
	if x.writers--; mayBeWritten {
		x.expires = now.Add(settleTime)
	}
	if x.writers == 0 && x.expires.IsZero() {
		r.drop(id, x)
	}
}

// Applied ends the reservation of a job that is in the table now.
func (r *JobRoom) Applied(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.reservations[id]; x != nil {
		r.drop(id, x)
	}
}

func (r *JobRoom) drop(id string, x *reservation) {
	delete(r.reservations, id)
	if x.uncounted {
		r.uncounted -= x.bytes
	}
	r.room.Hold(x.account, -x.bytes)
}

// expire gives up the jobs that have not been read back in time.
func (r *JobRoom) expire(now time.Time) {
	for id, x := range r.reservations {
		if x.writers == 0 && now.After(x.expires) {
			r.drop(id, x)
		}
	}
}
