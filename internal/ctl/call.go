package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/operator"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// The exit codes of this program, besides those of every program.
const (
	exitFault   = 3
	exitRefused = 4
	exitUnknown = 5
	exitDiffers = 6
)

// exitError ends the program with a code; its text was printed already.
type exitError struct{ code int }

func (exitError) Error() string { return "" }

// ExitCode implements settings.ExitCoder.
func (e exitError) ExitCode() int { return e.code }

// noAnswer tells that no scheduler answered. A change may have been taken over
// all the same, so its id goes with it; a script without one has none.
type noAnswer struct {
	id      string
	reasons []string
}

func (e *noAnswer) Error() string {
	text := "no scheduler answered:\n  " + strings.Join(e.reasons, "\n  ")
	if e.id != "" {
		text += "\nthe change may be or become accepted; ask again with --change-id " + e.id
	}
	return text
}

// ExitCode implements settings.ExitCoder.
func (e *noAnswer) ExitCode() int { return settings.ExitFailed }

// call is one script to be executed.
type call struct {
	text        string
	check, diff bool
}

// callTimeout bounds one try at one scheduler; it is above the time in which a
// scheduler settles a change.
const callTimeout = 10 * time.Second

// dialTimeout bounds the wait for a connection, so that a host that is gone
// costs less than one that is slow.
const dialTimeout = 2 * time.Second

// retryWait is the wait before the schedulers are tried anew.
const retryWait = time.Second

func (t *tool) run(ctx context.Context, c call) error {
	if t.forNodes(c.text) {
		return t.runAtNodes(ctx, c)
	}
	if len(t.flags.Schedulers) == 0 {
		return &settings.Error{Problems: []settings.Problem{{Flag: "scheduler-url", Requirement: "must be set"}}}
	}
	res, err := t.ask(ctx, c)
	if err != nil {
		return err
	}
	return t.show(res)
}

// ask tries the schedulers in turn, with the same change id, until one gives
// a definite answer or the time is over.
func (t *tool) ask(ctx context.Context, c call) (operator.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, t.flags.Timeout)
	defer cancel()
	req := &control.ExecuteRequest{Text: c.text, Actor: t.flags.Actor, ChangeId: t.flags.ChangeID, CheckOnly: c.check, DiffOnly: c.diff}
	if t.flags.IfVersion >= 0 {
		req.IfVersion = &t.flags.IfVersion
	}
	if req.ChangeId == "" {
		req.ChangeId = uuid.NewString()
	}
	var last *operator.Result
	for {
		var reasons []string
		for _, base := range t.flags.Schedulers {
			res, err := askOne(ctx, base, req)
			switch {
			case err != nil:
				reasons = append(reasons, fmt.Sprintf("%s: %v", base, err))
			case res.Change != nil && res.Change.State == operator.Unknown:
				last = &res
			default:
				return res, nil
			}
		}
		select {
		case <-time.After(retryWait):
		case <-ctx.Done():
			if last != nil {
				return *last, nil
			}
			if c.check || c.diff || !changes(c.text) {
				req.ChangeId = ""
			}
			return operator.Result{}, &noAnswer{req.ChangeId, reasons}
		}
	}
}

// changes reports whether a text may change anything.
func changes(text string) bool {
	script, err := language.Parse(text)
	return err == nil && slices.ContainsFunc(script.Statements, (*language.Statement).Changes)
}

// reach finds out in a short time whether anything listens at a base URL.
func reach(ctx context.Context, base string) error {
	u, err := url.Parse(base)
	if err != nil {
		return errors.WithStack(err)
	}
	port := u.Port()
	if port == "" {
		port = u.Scheme
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", net.JoinHostPort(u.Hostname(), port))
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(conn.Close())
}

func askOne(ctx context.Context, base string, req *control.ExecuteRequest) (operator.Result, error) {
	var res operator.Result
	if err := reach(ctx, base); err != nil {
		return res, err
	}
	client := control.NewOperatorProtobufClient(base, platform.NewHTTPClient(callTimeout))
	reply, err := client.Execute(ctx, req)
	if err != nil {
		var e twirp.Error
		if errors.As(err, &e) {
			return res, errors.New(e.Msg())
		}
		return res, errors.WithStack(err)
	}
	return res, errors.Wrap(json.Unmarshal(reply.ResultJson, &res), "malformed reply")
}
