package entry

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/routing"
)

// Headers between callers, entries and runners; see docs/callers.md.
const (
	headerDeadline   = "Mimosaspool-Deadline"
	headerTeam       = "Mimosaspool-Team"
	headerIdempotent = "Mimosaspool-Idempotent"
	headerKey        = "Idempotency-Key"
	headerOutcome    = "Mimosaspool-Outcome"
	headerReason     = "Mimosaspool-Reason"
	headerReplayed   = "Mimosaspool-Replayed"
	// headerNotStarted marks a response in which a runner refuses a request before
	// starting it.
	headerNotStarted = "X-Not-Started"
	// headerHop is the name of the entry that forwarded a request.
	headerHop    = "Mimosaspool-Hop"
	headerPrefix = "Mimosaspool-"
)

// Values of the outcome header.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// Defaults and limits of callers' headers.
const (
	defaultDeadline = 30 * time.Second
	maxDeadline     = time.Hour
	maxTeamBytes    = 128
	maxKeyBytes     = 256
)

// ErrBadHeader is the error for a request with an invalid header.
var ErrBadHeader = errors.New("bad header")

// parseHeaders reads a request's headers and returns its event and its
// timeout. Its error wraps ErrBadHeader.
func parseHeaders(service string, h http.Header, method string) (routing.RequestReceived, time.Duration, error) {
	ev := routing.RequestReceived{Service: service, Team: h.Get(headerTeam), Key: h.Get(headerKey), FromEntry: h.Get(headerHop) != ""}
	if len(ev.Team) > maxTeamBytes {
		return ev, 0, errors.Wrapf(ErrBadHeader, "%s is longer than %d bytes", headerTeam, maxTeamBytes)
	}
	if len(ev.Key) > maxKeyBytes {
		return ev, 0, errors.Wrapf(ErrBadHeader, "%s is longer than %d bytes", headerKey, maxKeyBytes)
	}
	timeout, err := parseDeadline(h.Get(headerDeadline))
	if err != nil {
		return ev, 0, err
	}
	ev.Idempotent, err = parseIdempotent(h.Get(headerIdempotent), method)
	return ev, timeout, err
}

func parseDeadline(value string) (time.Duration, error) {
	if value == "" {
		return defaultDeadline, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return 0, errors.Wrapf(ErrBadHeader, "%s: %q is no duration above zero such as 1500ms or 20s", headerDeadline, value)
	}
	return min(d, maxDeadline), nil
}

// parseIdempotent falls back to the method if the header is absent.
func parseIdempotent(value, method string) (bool, error) {
	switch value {
	case "":
		return method != http.MethodPost && method != http.MethodPatch, nil
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errors.Wrapf(ErrBadHeader, "%s: %q is neither true nor false", headerIdempotent, value)
}

// hopByHopHeaders are the headers that concern a single connection.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardedHeaders returns a copy of h without hop-by-hop headers.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	dropHopByHop(out)
	return out
}

func dropHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// dropEntryHeaders removes the headers that only entries set.
func dropEntryHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
}

// parseRetryAfter returns the delay of a Retry-After header in seconds, at
// most one hour. It returns 0 for any other value.
func parseRetryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(min(n, int(time.Hour/time.Second))) * time.Second
}
