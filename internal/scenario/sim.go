// Package scenario plays scenarios in virtual time: real nodes against stand-ins
// for the state service, the cloud, the workers and the users, which follow the
// protocol and can be made to fail. A checker watches every rule.
//
// A scenario is a txtar file with a comment and three files: world (what there
// is), script (what happens when) and expect (what must be true at the end).
package scenario

import (
	"container/heap"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination"
	"rockrun/internal/protocol"
)

// event is something that will happen.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is the world.
type sim struct {
	now     time.Duration
	seq     int
	queue   events
	rand    *rand.Rand
	log     *slog.Logger
	cluster config.Cluster
	options config.Options

	hosts  []*host
	store  *store
	cloud  *cloud
	agents map[string]*agent
	users  *users
	check  *checker
	trace  *trace  // of what controllers send
	echo   float64 // share of direct commands of which a late copy arrives
	copies float64 // share of reports of which a late copy arrives

	copyLeast, copyMost time.Duration // how late
	keptCopies          float64       // share of reports of which a copy is kept for the next leader
	kept                []*protocol.AgentHeartbeat
	lateCommands        float64 // share of direct commands that are carried out late, unanswered
	lateLeast, lateMost time.Duration
	drag                float64       // share of direct commands that are held up on their way there or back
	dragMost            time.Duration // how long
	spans               []faultSpan
	cutZone             string        // cut off from all else; "": none
	calm                time.Duration // when all faults were over; 0: not yet
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSim(cluster config.Cluster, options config.Options, seed uint64, log io.Writer) *sim {
	s := &sim{
		rand: rand.New(rand.NewPCG(seed, 7)), cluster: cluster, options: options, agents: map[string]*agent{},
	}
	s.log = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: s.virtualTime}))
	s.store = newStore(s)
	s.cloud = &cloud{s: s, asks: map[string][]string{}, capacity: map[poolName]int{}}
	s.check = newChecker(s)
	s.trace = newTrace(s)
	s.users = &users{s: s, jobs: map[string]*userJob{}}
	return s
}

// virtualTime lets log lines carry the time of the scenario.
func (s *sim) virtualTime(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		return slog.Duration("at", s.now)
	}
	return a
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.seq, f})
}

// run plays until the given time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// delay is a message's way.
func (s *sim) delay() time.Duration {
	return time.Millisecond + time.Duration(s.rand.Int64N(int64(3*time.Millisecond)))
}

// host is a controller's machine, on which processes come and go.
type host struct {
	s        *sim
	name     string
	zone     string // "": none in particular
	p        *process
	unaware  bool          // processes started here don't know the limits to come
	noState  bool          // the state service refuses it
	noPeers  bool          // it can't reach other controllers, nor they it
	noAgents bool          // it can't reach workers, nor they it
	thaw     time.Duration // until then the process stands still; what comes meanwhile is worked off afterwards
}

// process is one run of the program.
type process struct {
	h          *host
	controller *coordination.Controller
	dead       bool
}

func (h *host) start() {
	s := h.s
	s.faultEnds("down", h.name)
	p := &process{h: h}
	set := &config.Settings{Controller: h.name, Cluster: s.cluster}
	if h.unaware {
		set.Cluster.KVStore.Announced = nil
	}
	for _, o := range s.hosts {
		if o != h {
			set.Peers = append(set.Peers, config.Peer{Controller: o.name})
		}
	}
	p.controller = coordination.New(coordination.Config{
		Settings: set, Options: s.options, Clock: p, Store: storeLink{p}, Cloud: cloudLink{p}, Agents: agentLink{p}, Peers: peerLink{p},
		Rand: rand.New(rand.NewPCG(s.rand.Uint64(), s.rand.Uint64())),
		Log:  s.log.With("node", h.name),
	})
	h.p = p
	s.after(0, p.guard(p.controller.Start))
}

func (h *host) crash() {
	if h.p != nil {
		h.s.faultBegins("down", h.name)
		h.p.dead = true
		h.p = nil
	}
}

// guard makes f do nothing once the process is dead, and wait while it stands
// still.
func (p *process) guard(f func()) func() {
	var run func()
	run = func() {
		switch s := p.h.s; {
		case p.dead:
		case s.now < p.h.thaw:
			s.after(p.h.thaw-s.now, run)
		default:
			f()
		}
	}
	return run
}

// Now implements coordination.Clock.
func (p *process) Now() time.Duration { return p.h.s.now }

// Wall implements coordination.Clock.
func (p *process) Wall() time.Time { return epoch.Add(p.h.s.now) }

// After implements coordination.Clock.
func (p *process) After(d time.Duration, f func()) { p.h.s.after(d, p.guard(f)) }

// peerLink is the link between controllers.
type peerLink struct{ p *process }

// Ask implements coordination.Peers.
func (l peerLink) Ask(node string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	s := l.p.h.s
	s.trace.asked(l.p.h.name, node, r)
	fail := func() {
		s.after(time.Second, l.p.guard(func() { done(protocol.PeerAnswer{}, protocol.ErrOutcomeUnknown) }))
	}
	for _, h := range s.hosts {
		if h.name != node {
			continue
		}
		if h.p == nil || h.noPeers || l.p.h.noPeers {
			break
		}
		to := h.p
		s.after(s.delay(), func() {
			if to.dead {
				fail()
				return
			}
			if h.thaw > s.now {
				fail() // the sender doesn't wait; the message is read all the same
				done = func(protocol.PeerAnswer, error) {}
			}
			to.guard(func() {
				to.controller.OnPeer(r, func(a protocol.PeerAnswer) {
					s.trace.replied(h.name, a)
					s.after(s.delay(), l.p.guard(func() { done(a, nil) }))
				})
			})()
		})
		return
	}
	fail()
}
