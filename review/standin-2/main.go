//go:build review

// Command standin-2 plays one case of review/REPORT-2.md: it starts the project's nodes as
// separate processes on loopback addresses, with stand-ins for the platform's store, its list
// of machines, runners and a client, and judges one rule by what these have seen. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
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
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment.
type site struct {
	dir      string
	trouble  bool
	store    *logStore
	machines []*machine
	nodes    []*nodeProcess
	began    time.Time
	tmp      string
	program  string
	listMu   sync.Mutex

	mu     sync.Mutex
	out    *os.File
	broken []string
	live   map[string]map[string]bool // by task, the runners and runs at work
	starts []startSeen
	ends   map[string]int // by "task how"
	doneAt map[string]time.Time
	works  map[string]time.Duration
}

type startSeen struct {
	task   string
	run    int64
	runner *machine
	at     time.Time
}

type nodeProcess struct {
	name, front, ready, file string
	cmd                      *exec.Cmd
}

// cases are the cases by their names.
var cases = map[string]func(*site){
	"replaced-then-lost": replacedThenLost,
	"lost-then-stops":    lostThenStops,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER NODE-PROGRAM")
		os.Exit(2)
	}
	s := &site{dir: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", store: newLogStore(), began: time.Now(),
		live: map[string]map[string]bool{}, ends: map[string]int{}, doneAt: map[string]time.Time{}, works: map[string]time.Duration{}}
	out, err := os.Create(filepath.Join(s.dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s.out = out
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		s.fail("stopped from outside")
	}()
	time.AfterFunc(110*time.Second, func() { s.fail("out of time") })
	s.record("case %s, trouble %v", os.Args[1], s.trouble)
	s.program = os.Args[3]
	s.setUp()
	cases[os.Args[1]](s)
	s.finish()
}

// record writes a line to record.txt.
func (s *site) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// broke notes that the rule was broken.
func (s *site) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.record("BROKEN: %s", text)
	s.mu.Lock()
	s.broken = append(s.broken, text)
	s.mu.Unlock()
}

func (s *site) endProcesses() {
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
}

// fail ends a case that can't run.
func (s *site) fail(format string, args ...any) {
	s.record("the case can't run: "+format, args...)
	s.endProcesses()
	_ = os.RemoveAll(s.tmp)
	fmt.Printf("the case can't run: "+format+"\n", args...)
	os.Exit(2)
}

func (s *site) finish() {
	s.endProcesses()
	_ = os.RemoveAll(s.tmp)
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	if len(broken) > 0 {
		fmt.Println("broken:", strings.Join(broken, "; "))
		os.Exit(1)
	}
	s.record("the rule held")
	fmt.Println("the rule held")
	os.Exit(0)
}

// beganRun is told of a run that begins at a runner, ended of its end there.
func (s *site) beganRun(m *machine, o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live[o.Task] == nil {
		s.live[o.Task] = map[string]bool{}
	}
	others := len(s.live[o.Task])
	s.live[o.Task][fmt.Sprintf("%s %d", m.id, o.Run)] = true
	s.starts = append(s.starts, startSeen{o.Task, o.Run, m, time.Now()})
	if others > 0 {
		go s.broke("TWICE: task %s begins as run %d on %s while another run of it is at work on a runner that is up", o.Task, o.Run, m.id)
	}
}

func (s *site) ended(m *machine, task string, run int64, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live[task], fmt.Sprintf("%s %d", m.id, run))
	s.ends[task+" "+how]++
	if how == "done" {
		s.doneAt[task] = time.Now()
	}
}

// workOf returns how long the tasks of a job with this spec work.
func (s *site) workOf(spec string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.works[spec]
}

func freePort(host string) int {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (s *site) serveAt(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fail("%v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

const machineCount = 10

func (s *site) setUp() {
	storeAddress := s.serveAt(s.store)
	cloudAddress := s.serveAt(http.HandlerFunc(s.serveMachines))
	s.store.put("keyed.op", "config", map[string]any{"version": 1, "routes": []map[string]any{{
		"name": "queue", "host": "jobs.example", "pathPrefix": "/queue/", "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 400,
		"priority": 0, "service": "pool", "attempts": 4, "stretch": 2.0}},
		"services": []map[string]any{{"name": "pool", "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false,
			"admissionCheck": false, "standby": false}},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
	for i := range machineCount {
		s.addMachine(i).start()
	}
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		s.fail("%v", err)
	}
	s.tmp = tmp
	for i := range 3 {
		host := fmt.Sprintf("127.0.0.%d", 2+i)
		n := &nodeProcess{name: fmt.Sprintf("edge-%d", i+1), file: filepath.Join(tmp, fmt.Sprintf("local-%d.yaml", i+1))}
		n.front, n.ready = fmt.Sprintf("%s:%d", host, freePort(host)), fmt.Sprintf("%s:%d", host, freePort(host))
		port := freePort(host)
		settings := fmt.Sprintf(settingsText, n.name, host, n.front, n.ready, port, port+1, storeAddress, cloudAddress)
		if err := os.WriteFile(n.file, []byte(settings), 0o600); err != nil {
			s.fail("%v", err)
		}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	for _, n := range s.nodes {
		s.await(15*time.Second, n.name+" isn't ready", func() bool {
			status, _ := s.get("http://" + n.ready + "/v1/readyz")
			return status == http.StatusOK
		})
	}
	time.Sleep(4 * time.Second) // the leader has reached all runners
}

// addMachine adds a machine to the platform's list.
func (s *site) addMachine(i int) *machine {
	m := &machine{site: s, id: machineID(i), name: fmt.Sprintf("m-%04d", i), rack: fmt.Sprintf("r1-%d", i/3),
		address: fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))}
	s.listMu.Lock()
	s.machines = append(s.machines[:len(s.machines):len(s.machines)], m)
	s.listMu.Unlock()
	return m
}

// leader returns the node whose log has the newest claim.
func (s *site) leader() *nodeProcess {
	var found *nodeProcess
	newest := int64(0)
	for _, n := range s.nodes {
		data, _ := os.ReadFile(n.log())
		for _, line := range bytes.Split(data, []byte("\n")) {
			var b struct {
				Msg   string
				Token int64
			}
			if json.Unmarshal(line, &b) == nil && b.Msg == "term begins" && b.Token > newest {
				found, newest = n, b.Token
			}
		}
	}
	if found == nil {
		s.fail("no node is the leader")
	}
	return found
}

func (n *nodeProcess) log() string { return n.file + ".log" }

func (s *site) startNode(n *nodeProcess) {
	log, err := os.OpenFile(n.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.fail("%v", err)
	}
	n.cmd = exec.Command(s.program, "--log-format", "json", "--metrics-port", "9464")
	n.cmd.Env = append(os.Environ(), "MIMOSASPOOL_NODE_FILE="+n.file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		s.fail("%v", err)
	}
	s.record("%s starts", n.name)
}

func (s *site) await(limit time.Duration, what string, done func() bool) {
	for until := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			s.fail("%s", what)
		}
	}
}

func (s *site) call(method, url, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (s *site) get(url string) (int, string) { return s.call(http.MethodGet, url, "") }

// submit hands a job in, at the nodes in turn until one accepts it.
func (s *site) submit(id, spec string, work time.Duration, step map[string]any) {
	s.mu.Lock()
	s.works[spec] = work
	s.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"spec": spec, "steps": []any{step}})
	for i := range 12 {
		n := s.nodes[i%len(s.nodes)]
		status, text := s.call(http.MethodPost, "http://"+n.front+"/queue/"+id, string(body))
		s.record("POST %s %s at %s: %d %s", id, body, n.name, status, text)
		if status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.fail("job %s isn't accepted", id)
}

// awaitRun waits until the task is at work on a runner other than the ones given, and
// returns that.
func (s *site) awaitRun(task string, limit time.Duration, not ...*machine) *machine {
	var found *machine
	s.await(limit, task+" isn't started", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, x := range s.starts {
			if x.task == task && s.live[task][fmt.Sprintf("%s %d", x.runner.id, x.run)] {
				found = x.runner
				for _, m := range not {
					if m == found {
						found = nil
					}
				}
			}
		}
		return found != nil
	})
	return found
}

const settingsText = `nodeName: "%s"
role: "node"
machineClass: "edge"
serves: ["edge"]
ip: "%s"
zone: "zone-a"
region: "region-a"
zones: {zone-a: "region-a"}
listenAddrs:
  front: "%s"
  ready: "%s"
internalPorts: [%d, %d]
seeds: []
bootstrap: true
countsAsLoss: false
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
faultTolerance: {machines: 1, zones: 0, regions: 0}
bounds:
  {seedLagS: 3, addrReuseS: 2, contactMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 2500, graceS: 6, lossSlackMs: 200,
   configApplyMs: 2500, rollbackSlackMs: 250, maxStretchMs: 6000, recoveryS: 12, holdMaxMs: 10000, stopTimeoutMs: 900,
   gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: 3,
   checkpointS: 0.5, restoreMs: 600, noticeMs: 5500, moveS: 1.5, maintenanceS: 2, fencingRequired: false, leaseMs: 3000,
   thawSlackMs: 300, paceMs: 100, harmMs: 4000}
orders: "invocation"
platform:
  {address: "%s", form: "log", writesPerS: 800, readsPerS: 2000, parts: 12, appendMs: 2.0, partitionMbS: 20.0, readMbS: 80.0,
   recordBytes: 262144, requestBytes: 2097152, keep_s: 300, partitionMb: 200, minTtlMs: 1000}
cloud: {address: "%s", ratePerS: 60.0, duties: [], dutyPerS: 60.0}
`
