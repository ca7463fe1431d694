package standin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/twitchtv/twirp"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/platform"
)

// endKey is the context's key of the offset at which a log has to end for an append.
type endKey struct{}

// partition returns the named partition, which keeps all records and shows the
// log's faults.
func (s *Site) partition(name string) *Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partitions[name] == nil {
		s.partitions[name] = NewLog(LogLimits{AppendsPerSecond: s.Log.limits.AppendsPerSecond}, s.Faults)
	}
	return s.partitions[name]
}

// servePartition serves the calls of a partition.
func (s *Site) servePartition(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	if h := r.Header.Get(platform.HeaderEnd); h != "" {
		end, err := strconv.ParseInt(h, 10, 64)
		if err != nil {
			http.Error(w, "an offset is wanted", http.StatusBadRequest)
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), endKey{}, end))
	}
	api.NewLogServer(s.partition(name), twirp.WithServerPathPrefix(platform.PartitionPrefix(name))).ServeHTTP(w, r)
}
