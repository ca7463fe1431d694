package entry

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"
)

// FuzzParseHeaders guards against headers that are accepted with values out of
// bounds, and against errors other than ErrBadHeader.
func FuzzParseHeaders(f *testing.F) {
	f.Add("1500ms", "true", "field", "north.7f3a", "POST")
	f.Add("-1s", "yes", "", "", "GET")
	f.Add("9223372036854775807h", "", "", ".", "PATCH")
	f.Fuzz(func(t *testing.T, deadline, idempotent, team, key, method string) {
		h := http.Header{headerDeadline: {deadline}, headerIdempotent: {idempotent}, headerTeam: {team}, headerKey: {key}}
		ev, timeout, err := parseHeaders("s", h, method)
		if err != nil {
			if !errors.Is(err, ErrBadHeader) {
				t.Fatalf("error is not ErrBadHeader: %v", err)
			}
			return
		}
		if timeout <= 0 || timeout > maxDeadline || len(ev.Key) > maxKeyBytes || len(ev.Team) > maxTeamBytes {
			t.Fatalf("accepted out-of-bounds headers: %+v, timeout %v", ev, timeout)
		}
	})
}
