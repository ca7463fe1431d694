package demo

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/standin"
)

// bench speaks to the stand-in.
type bench struct {
	url    string
	client *http.Client
}

// platformTimeout bounds one call to the stand-in.
const platformTimeout = 10 * time.Second

func newBench(addr string) *bench {
	return &bench{url: "http://" + addr, client: &http.Client{Timeout: platformTimeout}}
}

func (p *bench) post(path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := p.client.Post(p.url+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return errors.WithStack(err)
	}
	return decode(path, resp, out)
}

func (p *bench) get(path string, out any) error {
	resp, err := p.client.Get(p.url + path)
	if err != nil {
		return errors.WithStack(err)
	}
	return decode(path, resp, out)
}

func decode(path string, resp *http.Response, out any) error {
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s: %s", path, resp.Status, data)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), path)
}

// order begins a fault.
func (p *bench) order(f standin.Fault) error { return p.post("/faults", f, nil) }

// clear ends all faults.
func (p *bench) clear() error {
	req, err := http.NewRequest(http.MethodDelete, p.url+"/faults/0", nil)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	return decode("/faults", resp, nil)
}

// link returns the URL through which one host reaches another.
func (p *bench) link(from, to, target string) (string, error) {
	var reply standin.LinkReply
	err := p.post("/links", standin.LinkRequest{From: from, To: to, Target: target}, &reply)
	return "http://" + reply.Address, err
}

// seen is what the stand-in recorded.
type seen struct {
	breaches []standin.Breach
	requests []standin.Request
	starts   []standin.Start
	workers  []standin.WorkerUse
	links    []standin.LinkUse
	log      standin.LogUse
	faults   []standin.Fault
}

func (p *bench) seen() (seen, error) {
	var s seen
	for path, out := range map[string]any{
		"/breaches": &s.breaches, "/requests": &s.requests, "/starts": &s.starts,
		"/workers": &s.workers, "/links": &s.links, "/log": &s.log, "/faults": &s.faults,
	} {
		if err := p.get(path, out); err != nil {
			return s, err
		}
	}
	return s, nil
}
