package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Recorder writes what happened to record.txt.
type Recorder struct {
	mu   sync.Mutex
	file *os.File
	t0   time.Time
}

func (r *Recorder) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.t0).Seconds(), fmt.Sprintf(format, args...))
}

// Node is one process of the system.
type Node struct {
	site              *Site
	name, ip, zone    string
	front, ready, dir string
	internal          int
	storeAddr         string
	cmd               *exec.Cmd
	done              chan struct{}
	// gone is set once its machine is lost for good.
	gone bool
}

// Site is a small deployment with its stand-ins.
type Site struct {
	rec     *Recorder
	store   *Store
	fleet   *Fleet
	nodes   []*Node
	dir     string
	store0  string
	cloud   string
	host    string
	routes  []map[string]any
	service []string
	holdMax int
	remote  float64
}

var current *Site

func fatal(code int, format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if current != nil {
		current.rec.Log("stopped: "+format, args...)
		current.Close()
	}
	os.Exit(code)
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(2, "listen: %v", err)
	}
	go http.Serve(l, h)
	return l.Addr().String()
}

// freePorts returns different ports that are free.
func freePorts(ip string, n int) []int {
	var out []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fatal(2, "no free port on %s: %v", ip, err)
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out
}

// nodeIP returns the loopback address of a node. Each run has addresses of its own, so that runs at
// the same time don't take each other's ports.
func nodeIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%128, pid%256, i)
}

// newSite starts the platform's stand-ins.
func newSite(record string) *Site {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s := &Site{rec: &Recorder{file: file, t0: time.Now()}, store: newStore(), dir: dir, host: "jobs.example", holdMax: 6000, remote: 2}
	current = s
	s.fleet = newFleet(s.store, s.rec)
	s.store0 = serve(s.store)
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/machines", s.fleet.machines)
	s.cloud = serve(mux)
	go s.fleet.sweep()
	return s
}

// Configure writes the configuration.
func (s *Site) Configure(version int) {
	services := []map[string]any{}
	for _, n := range s.service {
		services = append(services, map[string]any{"name": n, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": false, "standby": false})
	}
	b, _ := json.Marshal(map[string]any{"version": version, "routes": s.routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	s.store.Put("keyed.op", "config", b)
}

// Route adds a queue.
func (s *Site) Route(name, prefix, service string, priority, attempts int, stretch float64, targetMs int) {
	s.routes = append(s.routes, map[string]any{"name": name, "host": s.host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000,
		"targetLatencyMs": targetMs, "priority": priority, "service": service, "attempts": attempts, "stretch": stretch})
}

// AddNode prepares a node.
func (s *Site) AddNode(zone string) *Node {
	i := len(s.nodes) + 1
	n := &Node{site: s, name: fmt.Sprintf("edge-%s-%d", zone, i), ip: nodeIP(i), zone: zone, storeAddr: s.store0}
	ports := freePorts(n.ip, 3)
	n.front = fmt.Sprintf("%s:%d", n.ip, ports[0])
	n.ready = fmt.Sprintf("%s:%d", n.ip, ports[1])
	n.internal = ports[2]
	n.dir = filepath.Join(s.dir, n.name)
	s.nodes = append(s.nodes, n)
	return n
}

func (n *Node) settings() string {
	s := n.site
	return fmt.Sprintf(`nodeName: %q
role: "node"
machineClass: "edge"
serves: ["edge"]
ip: %q
zone: %q
region: "region-1"
zones: {zone-a: "region-1", zone-b: "region-1", zone-c: "region-1"}
listenAddrs: {front: %q, ready: %q}
internalPorts: [%d, %d]
seeds: []
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: %d
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep", "sharing"]
faultTolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, addrReuseS: 2, contactMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 2500, graceS: 6, lossSlackMs: 200, configApplyMs: 2500, rollbackSlackMs: 250, maxStretchMs: 6000, recoveryS: 12, holdMaxMs: %d, stopTimeoutMs: 200, gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: %g, checkpointS: 2, restoreMs: 250, noticeMs: 5500, moveS: 1.5, maintenanceS: 2, fencingRequired: false, leaseMs: 3000, thawSlackMs: 300, paceMs: 100, harmMs: 4000}
orders: "invocation"
platform: {address: %q, form: "log", writesPerS: 600, readsPerS: 2000, parts: 12, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0, recordBytes: 262144, requestBytes: 2097152, keep_s: 300, partitionMb: 200, minTtlMs: 1000}
cloud: {address: %q, ratePerS: 60.0, duties: [], dutyPerS: 60.0}
`, n.name, n.ip, n.zone, n.front, n.ready, n.internal, n.internal+1, heartbeatMs, s.holdMax, s.remote, n.storeAddr, s.cloud)
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start() {
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		fatal(2, "%v", err)
	}
	file := filepath.Join(n.dir, "local.yaml")
	if err := os.WriteFile(file, []byte(n.settings()), 0o644); err != nil {
		fatal(2, "%v", err)
	}
	out, err := os.OpenFile(filepath.Join(n.dir, "out.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fatal(2, "%v", err)
	}
	n.cmd = exec.Command("target/mimosaspool-node", "--log-format", "json", "--metrics-port", "9464")
	n.cmd.Env = []string{"MIMOSASPOOL_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		fatal(2, "start: %v", err)
	}
	n.done = make(chan struct{})
	cmd, done := n.cmd, n.done
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(done)
	}()
	n.site.rec.Log("%s starts, callers at %s", n.name, n.front)
}

func (n *Node) Signal(sig syscall.Signal) {
	n.site.rec.Log("%s gets %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig)
}

// Close ends all processes and removes the temporary folder.
func (s *Site) Close() {
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			select {
			case <-n.done:
			case <-time.After(3 * time.Second):
			}
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, n := range s.nodes {
			if b, err := os.ReadFile(filepath.Join(n.dir, "out.log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), b, 0o644)
			}
		}
	}
	os.RemoveAll(s.dir)
	s.rec.file.Close()
}

// AwaitReady waits until the nodes report themselves ready.
func (s *Site) AwaitReady() {
	until := time.Now().Add(15 * time.Second)
	for _, n := range s.nodes {
		for {
			resp, err := http.Get("http://" + n.ready + "/v1/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(until) {
				fatal(2, "%s isn't ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.rec.Log("all nodes are ready")
}

var client = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// Call sends a client's request to a node.
func (s *Site) Call(n *Node, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader(body))
	req.Host = s.host
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		s.rec.Log("%s %s at %s: no answer after %d ms", method, path, n.name, time.Since(sent).Milliseconds())
		return 0, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	s.rec.Log("%s %s at %s: %d %s", method, path, n.name, resp.StatusCode, bytes.TrimSpace(b))
	return resp.StatusCode, string(b)
}

// Submit hands a job in, and repeats it at the next node if there is no answer.
func (s *Site) Submit(n *Node, path string, job map[string]any) bool {
	b, _ := json.Marshal(job)
	for try := range 5 {
		if status, _ := s.Call(s.nodes[(indexOf(s.nodes, n)+try)%len(s.nodes)], "POST", path, string(b)); status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func indexOf(ns []*Node, n *Node) int {
	for i, x := range ns {
		if x == n {
			return i
		}
	}
	return 0
}

// State asks for a job's state.
func (s *Site) State(n *Node, path string) (int, string) {
	status, body := s.Call(n, "GET", path, "")
	var b struct{ State string }
	_ = json.Unmarshal([]byte(body), &b)
	return status, b.State
}

// Leader returns the node that wrote the last record of leadership in the store, nil if none did.
func (s *Site) Leader() *Node {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	var last []byte
	for name, p := range s.store.partitions {
		if strings.Contains(name, "tenure") && len(p.records) > 0 {
			last = p.records[len(p.records)-1].raw
		}
	}
	for _, n := range s.nodes {
		if bytes.Contains(last, []byte(`"`+n.name+`"`)) {
			return n
		}
	}
	return nil
}

// Runs returns the runs of the tasks of a job.
func (f *Fleet) Runs(job string) []*Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Run
	for _, r := range f.runs {
		if strings.HasPrefix(r.Task, job+".") {
			c := *r
			out = append(out, &c)
		}
	}
	return out
}
