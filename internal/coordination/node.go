// Package coordination decides: who leads, which controller holds which
// machines, what runs where, which machines are rented and given back.
//
// A Node runs on one goroutine. Everything that happens to it (a report, a
// user's request, an answer, a timer) is a call on that goroutine, and
// everything it wants done leaves through small interfaces that answer by
// calling back. Time comes from Clock alone, so the same code runs against real
// sockets and, in package scenario, against stand-ins in virtual time.
package coordination

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// Clock tells the time and calls back later, on the node's goroutine.
type Clock interface {
	Now() time.Duration // steady
	Wall() time.Time    // time of day
	After(d time.Duration, f func())
}

// State is the state service.
type State interface {
	Get(key string, done func(protocol.Item, bool, error))
	List(prefix, after string, done func(protocol.Page, error))
	Txn(t protocol.Txn, done func(uint64, error))
	NewLease(ttl time.Duration, done func(uint64, error))
	Renew(lease uint64, done func(error))
	EndLease(lease uint64, done func(error))
	Follow(prefix string, after uint64, wait time.Duration, done func(protocol.Changes, error))
}

// Cloud rents machines.
type Cloud interface {
	Catalogue(done func(protocol.Catalogue, error))
	Rent(r protocol.Rent, done func([]string, error))
	Delete(names []string, done func(error))
	List(done func([]protocol.CloudMachine, error))
}

// Workers takes commands for workers.
type Workers interface {
	Command(addr string, o protocol.DirectOrders, done func(*protocol.Report, bool, error))
}

// Peers carries messages to other controllers.
type Peers interface {
	Ask(node string, r protocol.PeerRequest, done func(protocol.PeerAnswer, error))
}

// Config is all that a Node is made of.
type Config struct {
	Settings *config.Settings
	Options  config.Options
	Clock    Clock
	State    State
	Cloud    Cloud
	Workers  Workers
	Peers    Peers
	Rand     *rand.Rand
	Log      *slog.Logger
}

// Times of the node's own loops. They follow from nothing in the settings; all
// are far below the leases they serve.
const (
	tickEvery   = 250 * time.Millisecond
	pingEvery   = 500 * time.Millisecond
	followWait  = time.Second
	retryPause  = 200 * time.Millisecond
	leaderTTL   = 4 * time.Second
	leaderTouch = time.Second
	aliveFor    = 3 * time.Second // a ping younger than this shows a live controller
)

// Node is one controller.
type Node struct {
	Config
	index  int      // among all controllers, by name
	nodes  []string // all controllers, by name
	shards int

	incarnation uint64
	era         int // counts incarnations within this process; callbacks of earlier ones are dropped
	book        *bookkeeping.Book
	revision    uint64        // the book holds all changes up to here
	ready       bool          // the book has been read whole
	freshAt     time.Duration // the book held everything that was durable at this time
	finals      map[string]bookkeeping.FinalRecord
	budget      bucket

	readPause time.Duration // between two reads of the changes; twice that between two that questions ask for

	syncWaits  []func(error) // questions that wait for the book to be as new as they are
	syncing    bool
	syncAt     time.Duration
	syncWanted bool

	candidate   bool
	candidateAt time.Duration
	claims      map[uint64]bool // leases opened for an election
	lead        *leadership

	blockLease time.Duration
	authority  time.Duration
	leaseUntil []time.Duration // by shard
	grantedAt  []time.Duration // by shard: when the grant in force was first seen
	heardFrom  []time.Duration // by shard: when one of its machines last reported here; 0: never
	pongAt     time.Duration   // when the leader's last answer that counts came
	othersWell int             // what it said of the others then
	beatAt     time.Duration   // no sign of life in the records before

	notices   map[string]*notices // by controller
	hold      *holder
	strangers map[string]protocol.Report
	stopped   bool
}

// New makes a node; Start sets it going.
func New(c Config) *Node {
	n := &Node{Config: c}
	n.nodes = []string{c.Settings.Node}
	for _, s := range c.Settings.Siblings {
		n.nodes = append(n.nodes, s.Node)
	}
	slices.Sort(n.nodes)
	n.index = slices.Index(n.nodes, c.Settings.Node)
	n.shards = len(n.nodes)
	n.blockLease = c.Options.BlockLease(c.Settings.Cluster.Workers)
	n.authority = c.Settings.Cluster.Workers.Authority()
	n.finals = map[string]bookkeeping.FinalRecord{}
	// All controllers together read with a quarter of the requests allowed.
	n.readPause = max(20*time.Millisecond, time.Duration(4*float64(len(n.nodes))/c.Settings.Cluster.State.RPS*float64(time.Second)))
	n.budget = newBucket(c.Settings.Cluster.State.WriteRPS / 4)
	return n
}

// Start begins the node's loops. It must be called on the node's goroutine.
func (n *Node) Start() {
	n.begin()
	var tick func()
	tick = func() {
		if n.stopped {
			return
		}
		n.tick()
		n.Clock.After(tickEvery, tick)
	}
	tick()
	var ping func()
	ping = func() {
		if n.stopped {
			return
		}
		n.ping()
		n.Clock.After(pingEvery, ping)
	}
	n.Clock.After(pingEvery, ping)
}

// Stop ends the node's part in the service: it acts for no shard any more, tells
// the leader so, or gives up the leadership. done is called once that is known,
// or got no answer.
func (n *Node) Stop(done func()) {
	n.stopped = true
	if n.lead == nil {
		n.ping()
		n.Clock.After(300*time.Millisecond, done)
		return
	}
	lease := n.lead.lease
	n.lead = nil
	n.State.EndLease(lease, func(error) { done() })
}

// begin starts a new incarnation with an empty book. It is used at the start
// and whenever the node has lost track of the state service's changes; what an
// earlier incarnation held is granted anew under a higher token, which fences
// whatever it left behind.
func (n *Node) begin() {
	n.era++
	// Later incarnations have higher numbers: the time of day in the high bits,
	// chance in the low ones.
	n.incarnation = max(n.incarnation+1, uint64(n.Clock.Wall().UnixMilli())<<20|n.Rand.Uint64N(1<<20))
	teams := make([]bookkeeping.Team, 0, len(n.Settings.Cluster.Teams))
	for _, t := range n.Settings.Cluster.Teams {
		teams = append(teams, bookkeeping.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
	}
	n.book = bookkeeping.NewBook(teams, n.shards)
	n.ready, n.revision, n.lead, n.candidate = false, 0, nil, false
	n.claims = map[uint64]bool{}
	n.leaseUntil = make([]time.Duration, n.shards)
	n.grantedAt = make([]time.Duration, n.shards)
	n.heardFrom = make([]time.Duration, n.shards)
	n.pongAt, n.beatAt = n.now(), 0
	n.strangers = map[string]protocol.Report{}
	n.notices = map[string]*notices{}
	n.hold = newHolder(n)
	waits := n.syncWaits
	n.syncWaits, n.syncing, n.syncWanted = nil, false, false
	for _, f := range waits {
		f(protocol.ErrNotDone)
	}
	n.load("", 0, 0)
}

// later runs f after d, unless a new incarnation has begun by then.
func (n *Node) later(d time.Duration, f func()) {
	era := n.era
	n.Clock.After(d, func() {
		if era == n.era && !n.stopped {
			f()
		}
	})
}

func (n *Node) now() time.Duration { return n.Clock.Now() }

// jitter returns a time between d and 2d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d + time.Duration(n.Rand.Int64N(int64(d)+1))
}

// load reads all records page by page and then follows the changes. Pages of
// different ages are made whole by following from the first page's revision;
// the book counts as read once it has caught up with the last.
func (n *Node) load(after string, from, upTo uint64) {
	era := n.era
	n.State.List(bookkeeping.Prefix, after, func(p protocol.Page, err error) {
		if era != n.era || n.stopped {
			return
		}
		if err != nil {
			n.Log.Debug("reading records", "err", err)
			n.later(n.jitter(retryPause), func() { n.load(after, from, upTo) })
			return
		}
		for _, it := range p.Items {
			n.apply(it.Key, it.Value, it.Version)
		}
		if from == 0 {
			from = p.Revision
		}
		if p.More && len(p.Items) > 0 {
			n.load(p.Items[len(p.Items)-1].Key, from, p.Revision)
			return
		}
		n.revision = from
		n.follow(p.Revision, 0)
	})
}

// follow keeps the book up to date for the rest of the incarnation.
func (n *Node) follow(upTo uint64, failures int) {
	era, sent := n.era, n.now()
	wait := followWait
	if !n.ready {
		wait = 0
	}
	n.State.Follow(bookkeeping.Prefix, n.revision, wait, func(c protocol.Changes, err error) {
		if era != n.era || n.stopped {
			return
		}
		if errors.Is(err, protocol.ErrTooOld) {
			n.Log.Warn("lost track of changes, starting over")
			n.begin()
			return
		}
		if err != nil {
			pause := n.jitter(retryPause)
			if failures > 10 {
				pause = n.jitter(2 * retryPause)
			}
			n.later(pause, func() { n.follow(upTo, failures+1) })
			return
		}
		n.takeIn(c, sent)
		if !n.ready && n.revision >= upTo {
			n.ready = true
			n.outnumber()
			n.Log.Info("records read", "revision", n.revision, "incarnation", n.incarnation)
		}
		if len(c.Events) > 0 || n.ready {
			n.changed(len(c.Events) > 0)
		}
		// Changes come one by one under load; gathering them for a moment keeps
		// the reads of all controllers far below what the service allows.
		if pause := sent + n.readPause - n.now(); pause > 0 && n.ready {
			n.later(pause, func() { n.follow(upTo, 0) })
			return
		}
		n.follow(upTo, 0)
	})
}

// outnumber raises the incarnation above all former ones that the records name.
// The time of day may step back, within its bound, between the end of a process
// and a start within a fraction of a second.
func (n *Node) outnumber() {
	former := n.book.Beats[n.Settings.Node].Incarnation
	if n.book.Leader.Node == n.Settings.Node {
		former = max(former, n.book.Leader.Incarnation)
	}
	for _, g := range n.book.Grants {
		if g.Node == n.Settings.Node {
			former = max(former, g.Incarnation)
		}
	}
	if former >= n.incarnation {
		n.Log.Warn("time of day has stepped back", "incarnation", n.incarnation, "former", former)
		n.incarnation = former + 1
	}
}

// takeIn puts changes into the book that were asked for at a time.
func (n *Node) takeIn(c protocol.Changes, sent time.Duration) {
	for _, e := range c.Events {
		// Two reads can be under way at once, and the later one may be answered
		// first. What the other then brings is old news: a key that it puts may
		// have been removed since, and nothing else would tell.
		if e.Version <= n.revision {
			continue
		}
		if e.Put != "" {
			n.apply(e.Put, e.Value, e.Version)
		} else {
			n.book.Remove(e.Remove, e.Version)
		}
	}
	n.revision = max(n.revision, c.Revision)
	// The service answered after the request was sent, so everything durable by
	// then is in the book.
	n.freshAt = max(n.freshAt, sent)
}

// sync calls done once the book holds everything that was durable when sync was
// called. One read of the changes serves all who wait, so questions from users
// cost the state service a few reads a second, however many they are.
func (n *Node) sync(done func(error)) {
	n.syncWaits = append(n.syncWaits, done)
	if n.syncing || n.syncWanted {
		return
	}
	n.syncWanted = true
	n.later(max(0, n.syncAt-n.now()), n.readChanges)
}

func (n *Node) readChanges() {
	era, sent := n.era, n.now()
	waits := n.syncWaits
	n.syncWaits, n.syncing, n.syncWanted, n.syncAt = nil, true, false, sent+2*n.readPause
	n.State.Follow(bookkeeping.Prefix, n.revision, 0, func(c protocol.Changes, err error) {
		if era != n.era || n.stopped {
			for _, f := range waits {
				f(protocol.ErrNotDone)
			}
			return
		}
		n.syncing = false
		if err == nil {
			n.takeIn(c, sent)
			n.changed(len(c.Events) > 0)
		}
		for _, f := range waits {
			f(err)
		}
		if len(n.syncWaits) > 0 && !n.syncWanted {
			n.syncWanted = true
			n.later(max(0, n.syncAt-n.now()), n.readChanges)
		}
	})
}

func (n *Node) apply(key string, value []byte, version uint64) {
	if !strings.HasPrefix(key, bookkeeping.Prefix) {
		return
	}
	if err := n.book.Apply(key, value, version); err != nil {
		n.Log.Error("unreadable record", "err", err)
	}
}

// changed works out what follows from new records.
func (n *Node) changed(events bool) {
	if !n.ready {
		return
	}
	n.checkLeadership()
	if events {
		for s := range n.shards {
			if !n.holds(s) {
				n.grantedAt[s] = 0
			} else if n.grantedAt[s] == 0 {
				n.grantedAt[s] = n.now()
				// The grant is fresh: its lease begins with it. The leader
				// made it no earlier than the request that brought it.
				n.leaseUntil[s] = max(n.leaseUntil[s], n.freshAt+n.blockLease)
			}
		}
		n.hold.sync()
		n.hold.kick()
	}
}

// holds reports whether the book grants a shard to this incarnation.
func (n *Node) holds(shard int) bool {
	if shard < 0 || shard >= n.shards {
		return false
	}
	g := &n.book.Grants[shard]
	return g.Version > 0 && g.Node == n.Settings.Node && g.Incarnation == n.incarnation
}

// entitled reports whether this node may act for a shard now: the grant is its
// own, the block lease runs, and its knowledge of withdrawals is young enough
// that renewing a worker's lease can't outlast the time for cancelling.
func (n *Node) entitled(shard int) bool {
	now := n.now()
	return n.ready && !n.stopped && n.holds(shard) && now < n.leaseUntil[shard] && now-n.freshAt < n.authority
}

func (n *Node) tick() {
	if !n.ready {
		return
	}
	n.share()
	n.beat()
	n.spread()
	n.electionTick()
	if n.lead != nil {
		n.lead.tick()
	}
	n.hold.tick()
}

// share works out this process's part of the writes that all controllers share,
// by what it does: the home of the work that ends writes most, the leader and
// the homes of services less, and what is left is for users' requests, which
// never wait for a budget.
func (n *Node) share() {
	part := 0.02
	if n.lead != nil {
		part += 0.25
	}
	for s := range n.shards {
		switch {
		case s >= n.book.Homes || !n.holds(s):
		case n.book.Homes == 1:
			part += 0.5
		case s == 0:
			part += 0.4
		default:
			part += 0.1 / float64(n.book.Homes-1)
		}
	}
	n.budget.rate = max(1, part*n.Settings.Cluster.State.WriteRPS)
}

// bucket is this process's part of the writes all controllers share.
type bucket struct {
	rate, level float64
	at          time.Duration
}

func newBucket(rate float64) bucket { return bucket{rate: rate, level: rate} }

func (b *bucket) fill(now time.Duration) {
	b.level = min(b.rate, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// take takes n writes if they are there, or all that there can ever be; a larger
// number is paid back before the next.
func (b *bucket) take(now time.Duration, n int) bool {
	b.fill(now)
	if b.level < min(float64(n), b.rate) {
		return false
	}
	b.level -= float64(n)
	return true
}

// force takes n writes for what can't wait.
func (b *bucket) force(now time.Duration, n int) {
	b.fill(now)
	b.level = max(b.level-float64(n), -b.rate)
}
