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

// The headers between callers, entries and runners; docs/callers.md describes them.
const (
	headerDeadline   = "Mimosaspool-Deadline"
	headerTeam       = "Mimosaspool-Team"
	headerIdempotent = "Mimosaspool-Idempotent"
	headerKey        = "Idempotency-Key"
	headerOutcome    = "Mimosaspool-Outcome"
	headerReason     = "Mimosaspool-Reason"
	headerReplayed   = "Mimosaspool-Replayed"
	// headerNotStarted marks a runner's answer that refuses a request before starting it.
	headerNotStarted = "X-Not-Started"
	// headerHop carries the name of the entry that passed a request on.
	headerHop = "Mimosaspool-Hop"
	ownPrefix = "Mimosaspool-"
)

// The values of the outcome header.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
)

// The bounds on callers' headers.
const (
	defaultDeadline = 30 * time.Second
	maxDeadline     = time.Hour
	maxTeam         = 128
	maxKey          = 256
)

// ErrBadHeader marks a request whose headers can't be used.
var ErrBadHeader = errors.New("bad header")

// admission reads what a request asks for. Its error wraps ErrBadHeader.
func admission(service string, h http.Header, method string) (routing.RequestReceived, time.Duration, error) {
	a := routing.RequestReceived{Service: service, Team: h.Get(headerTeam), Key: h.Get(headerKey), FromEntry: h.Get(headerHop) != ""}
	if len(a.Team) > maxTeam {
		return a, 0, errors.Wrapf(ErrBadHeader, "%s is longer than %d bytes", headerTeam, maxTeam)
	}
	if len(a.Key) > maxKey {
		return a, 0, errors.Wrapf(ErrBadHeader, "%s is longer than %d bytes", headerKey, maxKey)
	}
	within, err := deadline(h.Get(headerDeadline))
	if err != nil {
		return a, 0, err
	}
	a.Idempotent, err = idempotent(h.Get(headerIdempotent), method)
	return a, within, err
}

func deadline(value string) (time.Duration, error) {
	if value == "" {
		return defaultDeadline, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		return 0, errors.Wrapf(ErrBadHeader, "%s: %q is no duration above zero such as 1500ms or 20s", headerDeadline, value)
	}
	return min(d, maxDeadline), nil
}

// idempotent goes by the method where the header says nothing.
func idempotent(value, method string) (bool, error) {
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

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// passed returns a copy of h without the headers that concern one connection.
func passed(h http.Header) http.Header {
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
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// dropOwn removes the headers that only entries set.
func dropOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			delete(h, name)
		}
	}
}

// retryAfter reads a Retry-After in seconds; anything else is 0.
func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(min(n, int(time.Hour/time.Second))) * time.Second
}
