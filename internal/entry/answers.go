package entry

import (
	"bytes"
	"net/http"
	"sync"
)

// keptBytes bounds the answers that are kept for later requests with their key.
const keptBytes = 16 << 20

// answer is a whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// answers keeps answers by the number of the request. It may be used concurrently.
type answers struct {
	mu    sync.Mutex
	byID  map[uint64]*answer
	bytes int
}

func newAnswers() *answers { return &answers{byID: map[uint64]*answer{}} }

// put keeps an answer if there is room.
func (a *answers) put(id uint64, ans *begunAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bytes+len(ans.head) > keptBytes {
		return
	}
	a.bytes += len(ans.head)
	h := passed(ans.Header)
	dropOwn(h)
	a.byID[id] = &answer{ans.StatusCode, h, bytes.Clone(ans.head)}
}

// get returns a kept answer, or nil.
func (a *answers) get(id uint64) *answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[id]
}

// drop lets an answer go.
func (a *answers) drop(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if k := a.byID[id]; k != nil {
		a.bytes -= len(k.body)
		delete(a.byID, id)
	}
}
