package standin

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/twitchtv/twirp"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/platform"
)

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
	api.NewLogServer(s.partition(name), twirp.WithServerPathPrefix(platform.PartitionPrefix(name))).ServeHTTP(w, r)
}
