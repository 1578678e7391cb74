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
type simulation struct {
	now     time.Duration
	seq     int
	queue   events
	rand    *rand.Rand
	log     *slog.Logger
	cluster config.Cluster
	options config.Options

	hosts  []*host
	store  *fakeStore
	cloud  *fakeCloud
	agents map[string]*fakeAgent
	users  *fakeUsers
	checker  *checker
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
	livenessFrom                time.Duration // when all faults were over; 0: not yet
}

var wallClockStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSim(cluster config.Cluster, options config.Options, seed uint64, log io.Writer) *simulation {
	s := &simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), cluster: cluster, options: options, agents: map[string]*fakeAgent{},
	}
	s.log = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: s.virtualTime}))
	s.store = newStore(s)
	s.cloud = &fakeCloud{sim: s, requests: map[string][]string{}, capacity: map[machinePool]int{}}
	s.checker = newChecker(s)
	s.trace = newTrace(s)
	s.users = &fakeUsers{sim: s, jobs: map[string]*userJob{}}
	return s
}

// virtualTime lets log lines carry the time of the scenario.
func (s *simulation) virtualTime(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.TimeKey {
		return slog.Duration("at", s.now)
	}
	return a
}

func (s *simulation) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.seq, f})
}

// run plays until the given time.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// delay is a message's way.
func (s *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(s.rand.Int64N(int64(3*time.Millisecond)))
}

// host is a controller's machine, on which processes come and go.
type host struct {
	sim        *simulation
	name     string
	zone     string // "": none in particular
	process        *process
	unawareOfAnnouncedLimits  bool          // processes started here don't know the limits to come
	storePartitioned  bool          // the state service refuses it
	peersPartitioned  bool          // it can't reach other controllers, nor they it
	agentsPartitioned bool          // it can't reach workers, nor they it
	pausedUntil     time.Duration // until then the process stands still; what comes meanwhile is worked off afterwards
}

// process is one run of the program.
type process struct {
	host          *host
	controller *coordination.Controller
	dead       bool
}

func (h *host) start() {
	sim := h.sim
	sim.faultEnds("down", h.name)
	p := &process{host: h}
	set := &config.Settings{Controller: h.name, Cluster: sim.cluster}
	if h.unawareOfAnnouncedLimits {
		set.Cluster.KVStore.Announced = nil
	}
	for _, o := range sim.hosts {
		if o != h {
			set.Peers = append(set.Peers, config.Peer{Controller: o.name})
		}
	}
	p.controller = coordination.New(coordination.Config{
		Settings: set, Options: sim.options, Clock: p, Store: storeLink{p}, Cloud: cloudLink{p}, Agents: agentLink{p}, Peers: peerLink{p},
		Rand: rand.New(rand.NewPCG(sim.rand.Uint64(), sim.rand.Uint64())),
		Log:  sim.log.With("node", h.name),
	})
	h.process = p
	sim.after(0, p.guard(p.controller.Start))
}

func (h *host) crash() {
	if h.process != nil {
		h.sim.faultBegins("down", h.name)
		h.process.dead = true
		h.process = nil
	}
}

// guard makes f do nothing once the process is dead, and wait while it stands
// still.
func (p *process) guard(f func()) func() {
	var run func()
	run = func() {
		switch s := p.host.sim; {
		case p.dead:
		case s.now < p.host.pausedUntil:
			s.after(p.host.pausedUntil-s.now, run)
		default:
			f()
		}
	}
	return run
}

// Now implements coordination.Clock.
func (p *process) Now() time.Duration { return p.host.sim.now }

// Wall implements coordination.Clock.
func (p *process) Wall() time.Time { return wallClockStart.Add(p.host.sim.now) }

// After implements coordination.Clock.
func (p *process) After(d time.Duration, f func()) { p.host.sim.after(d, p.guard(f)) }

// peerLink is the link between controllers.
type peerLink struct{ process *process }

// Ask implements coordination.Peers.
func (l peerLink) Ask(node string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	sim := l.process.host.sim
	sim.trace.asked(l.process.host.name, node, r)
	fail := func() {
		sim.after(time.Second, l.process.guard(func() { done(protocol.PeerAnswer{}, protocol.ErrOutcomeUnknown) }))
	}
	for _, h := range sim.hosts {
		if h.name != node {
			continue
		}
		if h.process == nil || h.peersPartitioned || l.process.host.peersPartitioned {
			break
		}
		to := h.process
		sim.after(sim.delay(), func() {
			if to.dead {
				fail()
				return
			}
			if h.pausedUntil > sim.now {
				fail() // the sender doesn't wait; the message is read all the same
				done = func(protocol.PeerAnswer, error) {}
			}
			to.guard(func() {
				to.controller.OnPeer(r, func(a protocol.PeerAnswer) {
					sim.trace.replied(h.name, a)
					sim.after(sim.delay(), l.process.guard(func() { done(a, nil) }))
				})
			})()
		})
		return
	}
	fail()
}
