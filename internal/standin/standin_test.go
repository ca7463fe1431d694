package standin

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	api "github.com/mimosaspool/mimosaspool/api/platform"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/scheduler"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Stand-in")
}

// leaseMs is longer than any test takes.
const leaseMs = 60_000

var _ = Describe("Site", func() {
	var (
		s *Site
		a *Worker
		b *Worker
	)
	ctx := context.Background()

	BeforeEach(func() {
		s = NewSite(SiteOptions{Log: LogLimits{AppendsPerSecond: 2, Records: 2}})
		g := Group{Name: "w", Count: 2, PerRack: 2, Capacity: &api.Resources{MilliCpu: 2000, MemoryMib: 2000}}
		Expect(s.AddGroup(g, []string{"d"})).To(Succeed())
		a, b = s.workers["w-d-01"], s.workers["w-d-02"]
		DeferCleanup(s.Close)
	})

	order := func(f Fault) Fault {
		GinkgoHelper()
		f, err := s.Order(f)
		Expect(err).NotTo(HaveOccurred())
		return f
	}
	write := func(w *Worker, req *api.WriteRequest) *api.WriteReply {
		GinkgoHelper()
		reply, err := w.Write(ctx, req)
		Expect(err).NotTo(HaveOccurred())
		return reply
	}
	start := func(w *Worker, name string, attempt uint64, st *api.Start) *api.Task {
		GinkgoHelper()
		st.Task, st.Attempt = name, attempt
		st.Size = &api.Resources{MilliCpu: 1500, MemoryMib: 100}
		if st.LeaseExpiryMs == 0 {
			st.LeaseExpiryMs = w.now().Milliseconds() + leaseMs
		}
		for _, t := range write(w, &api.WriteRequest{Token: 1, Starts: []*api.Start{st}}).Tasks {
			if t.Attempt == attempt {
				return t
			}
		}
		return nil
	}
	promises := func() (list []Promise) {
		for _, x := range s.Breaches.List() {
			list = append(list, x.Promise)
		}
		return list
	}

	It("limits, trims and loses as a log does", func() {
		order(Fault{Kind: LogLostReply, Value: 100, DurationMs: leaseMs})
		_, err := s.Log.Append(ctx, &api.AppendRequest{Data: []byte("a")})
		Expect(err).To(HaveOccurred())
		s.Faults.Clear(0)
		r, err := s.Log.Append(ctx, &api.AppendRequest{Data: []byte("b")})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Offset).To(Equal(int64(1)))
		_, err = s.Log.Append(ctx, &api.AppendRequest{})
		Expect(err).To(HaveOccurred())
		Expect(s.Log.Use()).To(Equal(LogUse{Appends: 2, Bytes: 2, Refused: 1}))
		s.Log.add(&api.AppendRequest{})
		page, err := s.Log.Read(ctx, &api.ReadRequest{Max: 10})
		Expect(err).NotTo(HaveOccurred())
		Expect(page.First).To(Equal(int64(1)))
		Expect(page.Records).To(HaveLen(2))
		order(Fault{Kind: LogOut})
		_, err = s.Log.Read(ctx, &api.ReadRequest{Max: 10})
		Expect(err).To(HaveOccurred())
	})

	It("appends to a partition on condition of its end", func() {
		addr, err := s.Platform("e")
		Expect(err).NotTo(HaveOccurred())
		client := platform.NewHTTPClient(time.Second)
		a, b := platform.NewPartition("http://"+addr, "tenure-a", client), platform.NewPartition("http://"+addr, "tenure-b", client)
		Expect(a.Append(ctx, []byte("1"), 0)).To(Equal(int64(0)))
		_, err = a.Append(ctx, []byte("2"), 0)
		Expect(errors.Is(err, platform.ErrMoved)).To(BeTrue())
		Expect(b.Append(ctx, []byte("3"), 0)).To(Equal(int64(0)), "partitions have offsets of their own")
		Expect(b.Append(ctx, []byte("4"), -1)).To(Equal(int64(1)), "without a condition")
		page, err := b.Read(ctx, 0, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveExactElements(HaveField("Data", []byte("3")), HaveField("Data", []byte("4"))))
		page, err = a.Read(ctx, 0, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(1), "nothing was added where the end was another")
		order(Fault{Kind: LogOut})
		_, err = a.Append(ctx, nil, 2)
		Expect(errors.Is(err, platform.ErrUnavailable)).To(BeTrue())
	})

	It("obeys and records overcommitment and a task in two places", func() {
		start(a, "t/0/0", 1, &api.Start{})
		start(a, "t/0/1", 2, &api.Start{})
		start(b, "t/0/0", 3, &api.Start{})
		Expect(promises()).To(Equal([]Promise{PromiseCapacity, PromiseOnePlace}))
	})

	It("counts a lapsed attempt as gone and ignores a late start", func() {
		Expect(start(a, "t/0/0", 1, &api.Start{LeaseExpiryMs: a.now().Milliseconds() - 1})).To(BeNil())
		start(a, "t/0/0", 2, &api.Start{})
		a.Tasks[2].Expiry = a.now()
		start(b, "t/0/0", 3, &api.Start{})
		Expect(promises()).To(BeEmpty())
	})

	It("resumes from a checkpoint, slows down, and reports use late", func() {
		order(Fault{Kind: TaskUsage, Target: "t", Value: 200})
		start(a, "t/0/0", 1, &api.Start{RunMs: 40_000})
		tell := func(kind api.OrderKind) *api.Task {
			o := &api.Order{Kind: kind, Task: "t/0/0", Attempt: 1, ValidUntilMs: a.now().Milliseconds() + leaseMs}
			return write(a, &api.WriteRequest{Token: 1, Orders: []*api.Order{o}}).Tasks[0]
		}
		task := a.Tasks[1]
		Expect(tell(api.OrderKind_THROTTLE).Throttled).To(BeTrue())
		Expect(task.EndsAt - a.now()).To(BeNumerically(">", 70*time.Second))
		Expect(tell(api.OrderKind_RESUME).Throttled).To(BeFalse())
		Expect(task.EndsAt - a.now()).To(BeNumerically("<=", 40*time.Second))
		Expect(task.ReportAt - a.now()).To(BeNumerically("~", usageLag, usageLag/2))
		Expect(write(a, &api.WriteRequest{Token: 1}).Tasks[0].Usage).To(BeNil())
		task.ReportAt = a.now()
		Expect(write(a, &api.WriteRequest{Token: 1}).Tasks[0].Usage.MilliCpu).To(Equal(int64(3000)))
		task.EndsAt = a.now() + 20*time.Second
		saved := tell(api.OrderKind_CHECKPOINT)
		Expect(saved.State).To(Equal(api.TaskState_CHECKPOINTED))
		start(b, "t/0/0", 2, &api.Start{RunMs: 40_000, Checkpoint: saved.Checkpoint})
		Expect(b.Tasks[2].EndsAt - b.now()).To(BeNumerically("<=", 20*time.Second))
	})

	It("forgets all when a worker restarts and fails all on a black hole", func() {
		start(a, "t/0/0", 1, &api.Start{})
		Expect(write(a, &api.WriteRequest{Token: 7}).Token).To(Equal(int64(7)))
		Expect(start(a, "t/0/1", 2, &api.Start{})).To(BeNil(), "under a lower token")
		Expect(a.Tasks).To(HaveLen(1))
		boot := a.Boot.Milliseconds()
		order(Fault{Kind: WorkerRestart, Target: "w-d-01"})
		reply := write(a, &api.WriteRequest{Token: 7, BootMs: boot})
		Expect(reply.BootMs).To(BeNumerically(">", boot))
		Expect(reply.Token).To(BeZero())
		Expect(reply.Tasks).To(BeEmpty())
		order(Fault{Kind: WorkerBlackHole, Target: "w-d-0*"})
		start(a, "t/0/0", 2, &api.Start{})
		a.ahead += failAfter
		a.Sweep()
		Expect(a.Tasks[2].State).To(Equal(scheduler.Failed))
		Expect(promises()).To(BeEmpty())
	})

	It("names a machine alike to all hosts, whatever its addresses", func() {
		s.sweep()
		list := func(from string) []scheduler.Host {
			addr, err := s.Platform(from)
			Expect(err).NotTo(HaveOccurred())
			hosts, err := platform.NewHosts("http://"+addr, platform.NewHTTPClient(time.Second)).List(ctx, "d")
			Expect(err).NotTo(HaveOccurred())
			Expect(hosts).To(HaveLen(2))
			return hosts
		}
		e, f := list("e"), list("f")
		Expect(e[0].Address).NotTo(Equal(f[0].Address))
		Expect(e[0].Machine).NotTo(BeEmpty())
		Expect(e[0].Machine).To(Equal(f[0].Machine))
		Expect(e[0].Machine).NotTo(Equal(e[1].Machine))
	})

	It("records work for a host that the list has long shown as leaving", func() {
		order(Fault{Kind: HostLeaving, Target: "w-d-01"})
		s.sweep()
		list, err := hostsFor{s, "e"}.List(ctx, &api.ListRequest{Domain: "d"})
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Hosts[0].Leaving).To(BeTrue())
		start(a, "t/0/0", 1, &api.Start{})
		Expect(promises()).To(BeEmpty())
		s.hosts.told["w-d-01"] = time.Now().Add(-2 * leavingGrace)
		start(a, "t/0/1", 2, &api.Start{})
		Expect(promises()).To(ContainElement(PromiseLeaving))
	})

	It("records a ninth request, a key run twice and a request cut off", func() {
		task := start(a, "s/0/d/0", 1, &api.Start{Service: "s"})
		r := a.runners[1]
		r.busy.Store(runnerSlots)
		for range 2 {
			req, _ := http.NewRequest(http.MethodPost, "http://"+task.Address, bytes.NewBufferString("body"))
			req.Header.Set(headerKey, "k")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
		}
		write(a, &api.WriteRequest{Token: 1, Orders: []*api.Order{{Attempt: 1, ValidUntilMs: a.now().Milliseconds() + leaseMs}}})
		Expect(promises()).To(Equal([]Promise{PromiseSlots, PromiseSlots, PromiseAtMostOnce, PromiseGraceful}))
		Expect(s.Requests.List()).To(HaveLen(2))
	})

	It("takes faults in JSON and refuses unknown ones", func() {
		r := mux.NewRouter()
		s.Register(r)
		post := func(body string) int {
			w := httptest.NewRecorder()
			r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/faults", bytes.NewBufferString(body)))
			return w.Code
		}
		Expect(post(`{"kind":"log-out","duration_ms":5}`)).To(Equal(http.StatusOK))
		Expect(post(`{"kind":"log-lost"}`)).To(Equal(http.StatusBadRequest))
		Expect(s.Faults.List()).To(HaveLen(1))
	})

	Context("on a link", func() {
		var addr string
		var open net.Conn
		// echoes reports whether what is sent comes back.
		echoes := func(c net.Conn) bool {
			_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
			_, err := c.Write([]byte("x"))
			if err == nil {
				_, err = c.Read(make([]byte, 1))
			}
			return err == nil
		}
		dial := func() net.Conn {
			c, err := net.Dial("tcp", addr)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			return c
		}

		BeforeEach(func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						p := make([]byte, 1)
						for _, err := c.Read(p); err == nil; _, err = c.Read(p) {
							c.Write(p)
						}
						c.Close()
					}()
				}
			}()
			addr, err = s.Links.Address("e", "f", l.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			open = dial()
			Expect(echoes(open)).To(BeTrue())
		})

		It("cuts until the fault ends, open connections for good", func() {
			f := order(Fault{Kind: LinkCut, From: "e*", To: "f"})
			Expect(echoes(open)).To(BeFalse())
			Expect(echoes(dial())).To(BeFalse())
			s.Faults.Clear(f.ID)
			Expect(echoes(open)).To(BeFalse())
			Expect(echoes(dial())).To(BeTrue())
		})

		It("makes open connections silent while new ones work", func() {
			order(Fault{Kind: LinkSilent, From: "e"})
			Expect(echoes(open)).To(BeFalse())
			Expect(echoes(dial())).To(BeTrue())
		})
	})
})
