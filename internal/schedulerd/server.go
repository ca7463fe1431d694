package schedulerd

import (
	"net/http"

	control "github.com/mimosaspool/mimosaspool/api/control"
)

// Register adds the daemon's services to a mux.
func (d *Daemon) Register(handle func(prefix string, h http.Handler)) {
	for _, s := range []control.TwirpServer{
		control.NewPeerServer(peerService{d}),
		control.NewDirectoryServer(d.directory),
		control.NewOperatorServer(newOperatorService(d)),
	} {
		handle(s.PathPrefix(), s)
	}
}
