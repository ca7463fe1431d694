package entry

import (
	"bytes"
	"net/http"
	"sync"
)

// maxStoredResponseBytes bounds the total size of the response bodies that are
// stored for later requests with the same key.
const maxStoredResponseBytes = 16 << 20

// storedResponse is a complete response.
type storedResponse struct {
	status  int
	headers http.Header
	body    []byte
}

// responseStore stores responses by request ID. It is safe for concurrent use.
type responseStore struct {
	mu         sync.Mutex
	byRequest  map[uint64]*storedResponse
	totalBytes int
}

func newResponseStore() *responseStore {
	return &responseStore{byRequest: map[uint64]*storedResponse{}}
}

// put stores a response unless the store would exceed its size limit.
func (s *responseStore) put(id uint64, res *upstreamResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.totalBytes+len(res.bodyPrefix) > maxStoredResponseBytes {
		return
	}
	s.totalBytes += len(res.bodyPrefix)
	h := forwardedHeaders(res.Header)
	dropEntryHeaders(h)
	s.byRequest[id] = &storedResponse{res.StatusCode, h, bytes.Clone(res.bodyPrefix)}
}

// get returns a stored response, or nil.
func (s *responseStore) get(id uint64) *storedResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byRequest[id]
}

// drop removes a response.
func (s *responseStore) drop(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored := s.byRequest[id]; stored != nil {
		s.totalBytes -= len(stored.body)
		delete(s.byRequest, id)
	}
}
