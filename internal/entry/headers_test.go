package entry

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"
)

// FuzzAdmission checks that any headers either make sense or are refused as such.
func FuzzAdmission(f *testing.F) {
	f.Add("1500ms", "true", "field", "north.7f3a", "POST")
	f.Add("-1s", "yes", "", "", "GET")
	f.Add("9223372036854775807h", "", "", ".", "PATCH")
	f.Fuzz(func(t *testing.T, deadline, idempotent, team, key, method string) {
		h := http.Header{headerDeadline: {deadline}, headerIdempotent: {idempotent}, headerTeam: {team}, headerKey: {key}}
		a, within, err := admission("s", h, method)
		if err != nil {
			if !errors.Is(err, ErrBadHeader) {
				t.Fatalf("another error: %v", err)
			}
			return
		}
		if within <= 0 || within > maxDeadline || len(a.Key) > maxKey || len(a.Team) > maxTeam {
			t.Fatalf("admitted %+v within %v", a, within)
		}
	})
}
