package demo

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"sync"
	"time"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/standin"
)

// look is the version of each team that a host had in force at one moment.
type look struct {
	at       time.Time
	host     string
	versions map[string]int64
}

// watch looks at the configuration in force at every host.
type watch struct {
	hosts []*host
	mu    sync.Mutex
	looks []look
}

func newWatch(hosts []*host) *watch { return &watch{hosts: hosts} }

// run looks again and again until ctx ends.
func (w *watch) run(ctx context.Context) {
	for sleep(ctx, watchEvery) {
		var wg sync.WaitGroup
		for _, h := range w.hosts {
			wg.Go(func() { w.look(ctx, h) })
		}
		wg.Wait()
	}
}

// look asks one host; one that does not answer, or does not know its
// configuration, is left out.
func (w *watch) look(ctx context.Context, h *host) {
	client := platform.NewHTTPClient(watchEvery)
	defer client.CloseIdleConnections()
	reply, err := control.NewOperatorProtobufClient("http://"+h.schedulerAddr, client).Execute(ctx, &control.ExecuteRequest{Text: "list teams;", Actor: "watch"})
	if err != nil {
		return
	}
	var result struct {
		Answers []struct {
			Table struct {
				Rows []struct {
					Name    string `json:"name"`
					Version int64  `json:"version"`
				} `json:"rows"`
			} `json:"table"`
		} `json:"answers"`
	}
	if json.Unmarshal(reply.ResultJson, &result) != nil || len(result.Answers) != 1 {
		return
	}
	l := look{at: time.Now(), host: h.name, versions: map[string]int64{}}
	for _, row := range result.Answers[0].Table.Rows {
		l.versions[row.Name] = row.Version
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks = append(w.looks, l)
}

// judge finds hosts that went back behind what they had shown, that lack an
// accepted change although they show a later one, or that lack one at the end.
func (w *watch) judge(changes []change) []standin.Breach {
	accepted := acceptedTeams(changes)
	var out []standin.Breach
	last := map[string]look{}
	for _, l := range w.looks {
		out = append(out, l.behind(last[l.host].versions, "went back")...)
		out = append(out, l.behind(accepted.before(l), "left out")...)
		last[l.host] = l
	}
	for _, host := range slices.Sorted(maps.Keys(last)) {
		out = append(out, last[host].behind(accepted.newest(), "never showed")...)
	}
	return out
}

// behind returns a breach for each team that l shows at a lower version than want.
func (l look) behind(want map[string]int64, what string) []standin.Breach {
	var out []standin.Breach
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if have := l.versions[name]; have < want[name] {
			out = append(out, standin.Breach{
				Time: l.at, Promise: promiseConfiguration, Subject: l.host,
				Detail: fmt.Sprintf("%s: team %s at version %d, shown at %d", what, name, want[name], have),
			})
		}
	}
	return out
}

// teamChange is an accepted change of a team.
type teamChange struct {
	name   string
	offset int64
}

// teamChanges are accepted changes in the order of the log.
type teamChanges []teamChange

var teamPattern = regexp.MustCompile(`declare team (\S+)`)

func acceptedTeams(changes []change) teamChanges {
	var list teamChanges
	for _, c := range changes {
		if m := teamPattern.FindStringSubmatch(c.text); m != nil && c.accepted {
			list = append(list, teamChange{m[1], c.offset})
		}
	}
	slices.SortFunc(list, func(a, b teamChange) int { return cmp.Compare(a.offset, b.offset) })
	return list
}

func (t teamChanges) newest() map[string]int64 {
	versions := map[string]int64{}
	for _, c := range t {
		versions[c.name] = c.offset
	}
	return versions
}

// before returns the newest accepted change of each team at or before the
// newest offset that l shows.
func (t teamChanges) before(l look) map[string]int64 {
	shown := int64(-1)
	for _, v := range l.versions {
		shown = max(shown, v)
	}
	n := 0
	for n < len(t) && t[n].offset <= shown {
		n++
	}
	return t[:n].newest()
}
