package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	api "github.com/mimosaspool/mimosaspool/api/platform"
)

// LinkRequest asks for the address through which one host reaches another. The
// platform and the workers are known by name; any other end needs a target.
type LinkRequest struct {
	From   string `json:"from"`
	To     string `json:"to"`
	Target string `json:"target,omitempty"`
}

// LinkReply is the address, host:port.
type LinkReply struct {
	Address string `json:"address"`
}

// EntryHost adds an entry host to the list of hosts.
type EntryHost struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
}

// Register adds the test bench's endpoints to a router.
func (s *Site) Register(r *mux.Router) {
	get := func(path string, f func() any) {
		r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f()) }).Methods(http.MethodGet)
	}
	get("/faults", func() any { return s.Faults.List() })
	get("/breaches", func() any { return s.Breaches.List() })
	get("/requests", func() any { return s.Requests.List() })
	get("/workers", func() any { return s.workersUse() })
	get("/starts", func() any { return s.startsSoFar() })
	get("/links", func() any { return s.Links.Use() })
	get("/log", func() any { return s.Log.Use() })
	r.HandleFunc("/faults", s.postFault).Methods(http.MethodPost)
	r.HandleFunc("/faults/{id}", s.deleteFault).Methods(http.MethodDelete)
	r.HandleFunc("/links", s.postLink).Methods(http.MethodPost)
	r.HandleFunc("/hosts", s.postHost).Methods(http.MethodPost)
}

func (s *Site) workersUse() []WorkerUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]WorkerUse, 0, len(s.workers))
	for _, w := range s.workers {
		list = append(list, w.report())
	}
	slices.SortFunc(list, func(a, b WorkerUse) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (s *Site) startsSoFar() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start{}, s.starts...)
}

func (s *Site) postFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readJSON(w, r, &f) {
		return
	}
	f, err := s.Order(f)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, f)
}

// deleteFault clears one fault, or all under the number 0.
func (s *Site) deleteFault(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.Atoi(mux.Vars(r)["id"])
	if err != nil {
		http.Error(w, "a fault's number is wanted", http.StatusBadRequest)
		return
	}
	s.Faults.Clear(id)
}

func (s *Site) postLink(w http.ResponseWriter, r *http.Request) {
	var q LinkRequest
	if !readJSON(w, r, &q) {
		return
	}
	addr, err := s.link(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, LinkReply{addr})
}

func (s *Site) link(q LinkRequest) (string, error) {
	if q.To == platformName {
		return s.Platform(q.From)
	}
	return s.Links.Address(q.From, q.To, q.Target)
}

func (s *Site) postHost(w http.ResponseWriter, r *http.Request) {
	var h EntryHost
	if readJSON(w, r, &h) {
		s.addHost(&api.Host{Name: h.Name, Region: h.Region, Domain: h.Domain, Address: h.Address, Entry: true})
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
