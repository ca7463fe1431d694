package standin

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/spf13/cobra"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/lifecycle"
	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// flags are the program's settings.
type flags struct {
	Listen  string   `flag:"listen" validate:"required,hostname_port"`
	Site    string   `flag:"site" validate:"oneof=tallowood agency"`
	Domains []string `flag:"domains" validate:"required"`
}

// sites holds the workers of each known site.
var sites = map[string][]Group{
	"tallowood": {
		{Name: "survey", Count: 35, PerRack: 5, Capacity: &api.Resources{MilliCpu: 32000, MemoryMib: 128 << 10}},
		{Name: "imaging", Count: 13, PerRack: 3, Capacity: &api.Resources{MilliCpu: 128000, MemoryMib: 512 << 10, Accelerators: 8}},
	},
	"agency": {
		{Name: "dispatch", Count: 35, PerRack: 5, Capacity: &api.Resources{MilliCpu: 64000, MemoryMib: 256 << 10}},
		{Name: "imaging", Count: 13, PerRack: 3, Capacity: &api.Resources{MilliCpu: 64000, MemoryMib: 128 << 10, Accelerators: 8}},
	},
}

// Main runs the program and returns its exit code.
func Main() int {
	var f flags
	cmd := &cobra.Command{
		Use:   "mimosaspool-standin",
		Short: "Serve a test stand-in for the platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.Validate(f); err != nil {
				return err
			}
			return run(cmd.Context(), f)
		},
	}
	cmd.Flags().StringVar(&f.Listen, "listen", "", "address to serve the log and the list of hosts on, host:port")
	cmd.Flags().StringVar(&f.Site, "site", "tallowood", "whose workers to serve: tallowood or agency")
	cmd.Flags().StringSliceVar(&f.Domains, "domains", nil, "names of the failure domains")
	return settings.Execute(cmd)
}

func run(parent context.Context, f flags) error {
	ctx, cancel := lifecycle.Signals(parent, func() {})
	defer cancel()
	s := NewSite()
	defer s.Close()
	for _, g := range sites[f.Site] {
		if err := s.AddGroup(g, f.Domains); err != nil {
			return err
		}
	}
	r := mux.NewRouter()
	s.Register(r)
	return lifecycle.Serve(ctx, f.Listen, r)
}

// Register adds the platform's services and the record of breaches to a router.
func (s *Site) Register(r *mux.Router) {
	for _, srv := range []api.TwirpServer{api.NewLogServer(s.Log), api.NewHostsServer(s)} {
		r.PathPrefix(srv.PathPrefix()).Handler(srv)
	}
	r.HandleFunc("/breaches", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Breaches.List())
	})
	lifecycle.AddHealth(r, func() bool { return true })
}
