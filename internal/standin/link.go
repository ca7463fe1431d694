package standin

import (
	"cmp"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// link forwards connections from one entry host to one other host, through a
// listener of its own, so that faults can be ordered for the pair.
type link struct {
	from, to string
	target   string
	l        *listener
}

// Links holds the forwarders, one for each pair. Its methods may be called
// concurrently.
type Links struct {
	faults *Faults
	mu     sync.Mutex
	byPair map[[2]string]*link
}

// NewLinks returns an empty set.
func NewLinks(f *Faults) *Links { return &Links{faults: f, byPair: map[[2]string]*link{}} }

// Address returns the address through which from reaches to, whose own
// address is target. A changed target holds for new connections.
func (s *Links) Address(from, to, target string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pair := [2]string{from, to}
	if k := s.byPair[pair]; k != nil && k.target == target {
		return k.l.Addr().String(), nil
	} else if k != nil {
		k.close()
	}
	l, err := listen()
	if err != nil {
		return "", errors.Wrapf(err, "link from %s to %s", from, to)
	}
	k := &link{from: from, to: to, target: target, l: l}
	l.mute = func() bool { return s.on(LinkCut, k) }
	l.refuse = func() bool { return s.on(LinkRefuse, k) }
	l.delay = func() time.Duration {
		x, _ := s.faults.OnLink(LinkDelay, k.from, k.to)
		return time.Duration(x.Value) * time.Millisecond
	}
	s.byPair[pair] = k
	go k.run()
	return l.Addr().String(), nil
}

func (s *Links) on(kind FaultKind, k *link) bool {
	_, on := s.faults.OnLink(kind, k.from, k.to)
	return on
}

// begin applies a fault to the connections that are open now.
func (s *Links) begin(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.byPair {
		if !matches(f.From, k.from) || !matches(f.To, k.to) {
			continue
		}
		if f.Kind == LinkRefuse {
			k.l.closeAll()
		} else if f.Kind != LinkDelay {
			k.l.silence()
		}
	}
}

// Close ends all forwarders.
func (s *Links) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.byPair {
		k.close()
	}
}

func (k *link) close() {
	k.l.Close()
	k.l.closeAll()
}

func (k *link) run() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		go k.forward(c)
	}
}

func (k *link) forward(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		_, _ = io.Copy(far, near)
		far.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(near, far)
}

// LinkUse is what a link has carried.
type LinkUse struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Bytes int64  `json:"bytes"`
}

// Use returns what each link has carried so far, in order of its ends.
func (s *Links) Use() []LinkUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]LinkUse, 0, len(s.byPair))
	for _, k := range s.byPair {
		list = append(list, LinkUse{k.from, k.to, k.l.bytes.Load()})
	}
	slices.SortFunc(list, func(a, b LinkUse) int { return cmp.Or(strings.Compare(a.From, b.From), strings.Compare(a.To, b.To)) })
	return list
}
