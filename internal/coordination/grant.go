package coordination

import (
	"maps"
	"math"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// A shard is a set of machines; some shards are homes, to which jobs belong. The
// leader grants each shard to one controller; the record of the grant, on whose
// version every write of the holder depends, is what makes it exclusive. The
// block lease that pings renew says how long a holder may use it unheard.

// peerInfo is what a leader knows of a controller.
type peerInfo struct {
	incarnation uint64
	since       time.Duration // when it was first heard without a gap
	heard       time.Duration
	pinged      time.Duration // the same, by a ping: signs of life in the records say no more than that
	confirmed   time.Duration // last time its block leases were extended
	stale       time.Duration // how long it had not heard from the state service
	fresh       bool
	left        bool // it ended by itself and gave up what it held
	shares      uint64
	kept        bool
	notes       map[string]protocol.MachineNote
	hears       []time.Duration // when machines of a shard were last heard there; 0: never
}

// ping tells the leader about this node. The leader tells itself.
func (n *Node) ping() {
	if !n.ready || n.book.LeaderVer == 0 {
		return
	}
	p := &protocol.Ping{
		Node: n.Settings.Node, Incarnation: n.incarnation, SentAt: n.now(), Term: n.book.Leader.Term,
		FreshFor: n.now() - n.freshAt, Leaving: n.stopped, Machines: n.hold.notes(),
		Shares: n.book.SharesVer, Kept: n.hold.keepsShares(),
	}
	for _, at := range n.heardFrom {
		age := time.Duration(-1)
		if at > 0 {
			age = n.now() - at
		}
		p.Heard = append(p.Heard, age)
	}
	for _, name := range slices.Sorted(maps.Keys(n.strangers)) {
		p.Strangers = append(p.Strangers, n.strangers[name])
	}
	clear(n.strangers)
	if n.lead != nil {
		n.onPong(n.lead.onPing(p))
		return
	}
	era := n.era
	n.Peers.Ask(n.book.Leader.Node, protocol.PeerRequest{Ping: p}, func(a protocol.PeerAnswer, err error) {
		if err == nil && a.Pong != nil && era == n.era {
			n.onPong(a.Pong)
		}
	})
}

// onPong extends the block leases the leader has confirmed, counted from when
// the ping was sent.
func (n *Node) onPong(p *protocol.Pong) {
	if !p.Leader || p.Term < n.book.Leader.Term {
		return
	}
	for _, s := range p.Shards {
		if n.holds(s) {
			n.leaseUntil[s] = max(n.leaseUntil[s], p.SentAt+n.blockLease)
		}
	}
	n.pongAt = n.now()
}

// beat shows in the records that this node is alive while the leader does not
// answer it: where controllers can't reach each other, but all reach the state
// service, homes stay where they are instead of gathering at the leader. The
// write depends on the grants of the homes held, so its success extends their
// block leases as a pong would; the leader counts from when it sees the record.
func (n *Node) beat() {
	now := n.now()
	every := n.blockLease / 2
	if n.lead != nil || n.book.LeaderVer == 0 || now-n.pongAt < every || now < n.beatAt {
		return
	}
	key := bookkeeping.BeatKey(n.Settings.Node)
	t := protocol.Txn{
		If:   []protocol.Cond{{Key: key, Version: n.book.Beats[n.Settings.Node].Version}},
		Then: []protocol.Op{{Put: key, Value: bookkeeping.Encode(bookkeeping.BeatRecord{Incarnation: n.incarnation})}},
	}
	var homes []int
	for s := range n.book.Homes {
		if n.holds(s) {
			homes = append(homes, s)
			t.If = append(t.If, protocol.Cond{Key: bookkeeping.GrantKey(s), Version: n.book.Grants[s].Version})
		}
	}
	if len(homes) == 0 {
		return
	}
	n.beatAt = now + every
	n.budget.force(now, 1)
	era := n.era
	n.State.Txn(t, func(_ uint64, err error) {
		if era != n.era {
			return
		}
		if err != nil {
			n.Log.Debug("no sign of life written", "err", err)
			n.beatAt = n.now() + n.jitter(retryPause)
			return
		}
		for _, s := range homes {
			if n.holds(s) {
				n.leaseUntil[s] = max(n.leaseUntil[s], now+n.blockLease)
			}
		}
	})
}

// takeBeats takes in signs of life that are new in the records.
func (l *leadership) takeBeats() {
	for node, b := range l.n.book.Beats {
		if b.Version <= l.beats[node] {
			continue
		}
		l.beats[node] = b.Version
		p := l.peers[node]
		if p == nil {
			p = &peerInfo{incarnation: b.Incarnation}
			l.peers[node] = p
		}
		if b.Incarnation >= p.incarnation && !p.left {
			p.incarnation = b.Incarnation
			p.heard, p.confirmed, p.stale, p.fresh = l.n.now(), l.n.now(), 0, true
		}
	}
}

// OnPeer answers a message from another controller.
func (n *Node) OnPeer(r protocol.PeerRequest, reply func(protocol.PeerAnswer)) {
	switch {
	case r.Ping != nil:
		if n.lead == nil || !slices.Contains(n.nodes, r.Ping.Node) {
			reply(protocol.PeerAnswer{Pong: &protocol.Pong{}})
			return
		}
		reply(protocol.PeerAnswer{Pong: n.lead.onPing(r.Ping)})
	default:
		reply(protocol.PeerAnswer{})
	}
}

// onPing takes in a controller's view and confirms what it holds.
func (l *leadership) onPing(p *protocol.Ping) *protocol.Pong {
	n := l.n
	now := n.now()
	if !l.sure() {
		return &protocol.Pong{}
	}
	info := l.peers[p.Node]
	if info == nil {
		info = &peerInfo{}
		l.peers[p.Node] = info
	}
	if p.Incarnation < info.incarnation {
		return &protocol.Pong{} // a late copy from an incarnation that is over
	}
	if p.Incarnation > info.incarnation || now-info.heard > aliveFor {
		info.since = now
	}
	info.incarnation = p.Incarnation
	info.heard, info.pinged, info.fresh = now, now, p.FreshFor < n.authority/2
	info.left, info.shares, info.kept, info.stale = p.Leaving, p.Shares, p.Kept, p.FreshFor
	info.notes = make(map[string]protocol.MachineNote, len(p.Machines))
	for _, m := range p.Machines {
		if m.Seen {
			l.lastSeen[m.Name] = m
		} else if last, ok := l.lastSeen[m.Name]; ok && last.Silent > l.quiet() {
			// It was silent before its holder changed, and goes on being so: the
			// new holder must not begin to wait anew.
			m.Silent += last.Silent
		}
		info.notes[m.Name] = m
	}
	info.hears = make([]time.Duration, len(p.Heard))
	for s, age := range p.Heard {
		if age >= 0 {
			info.hears[s] = now - age
		}
	}
	for i := range p.Strangers {
		l.fleet.stranger(&p.Strangers[i])
	}
	pong := &protocol.Pong{Leader: true, Term: l.term, SentAt: p.SentAt}
	if l.useless(info) {
		return pong // its block leases run out
	}
	info.confirmed = now
	for s := range n.shards {
		g := &n.book.Grants[s]
		if g.Node == p.Node && g.Incarnation == p.Incarnation {
			pong.Shards = append(pong.Shards, s)
		}
	}
	return pong
}

// grantTick grants every shard that has no live holder.
func (l *leadership) grantTick() {
	n := l.n
	now := n.now()
	alive := func(node string) *peerInfo {
		if p := l.peers[node]; p != nil && !p.left && now-p.heard < aliveFor {
			return p
		}
		return nil
	}
	held := map[string]int{}
	all := true
	for _, node := range n.nodes {
		if alive(node) == nil {
			all = false
		}
	}
	for s := range n.shards {
		if l.work(s) {
			held[n.book.Grants[s].Node]++
		}
	}
	l.takeBeats()
	l.homesTick()
	l.sharesTick()
	for s := range n.shards {
		g := &n.book.Grants[s]
		if l.granting[s] || now < l.grantAt[s] {
			continue
		}
		to := ""
		p := l.peers[g.Node]
		switch {
		case g.Version == 0:
			// At the very start everybody is given a moment to be heard.
			if all || now-l.since > 2*time.Second {
				to = l.best(s, held)
			}
		case p != nil && p.left && p.incarnation == g.Incarnation:
			to = l.best(s, held)
		case p != nil && now-p.heard < aliveFor && p.incarnation > g.Incarnation:
			// The holder has restarted and declared its former self over.
			to = g.Node
		case p != nil && p.incarnation == g.Incarnation && now-p.heard < n.blockLease && !l.useless(p):
			// Alive: re-confirmed by every ping. But its machines must reach it.
			if l.mute(s, p) {
				n.Log.Warn("holder hears nothing of its machines, others do", "shard", s, "holder", g.Node, "term", l.term)
				to = l.choose(s, held, func(node string) bool { return l.hears(l.peers[node], s) })
			} else if l.crowded(s, held) {
				n.Log.Info("home moves to a controller that has none", "shard", s, "holder", g.Node, "term", l.term)
				to = l.choose(s, held, func(node string) bool { return held[node] == 0 })
				l.movedAt = now
			}
		case now-l.since > n.blockLease && (p == nil || now-p.heard > n.blockLease || now-p.confirmed > n.blockLease):
			// Neither this leader nor, by the wait, an earlier one has
			// confirmed it for a whole block lease.
			to = l.best(s, held)
			if to == g.Node {
				to = ""
			}
		}
		if to != "" {
			l.grant(s, to)
			if l.work(s) {
				held[to]++
			}
		}
	}
}

// useless reports whether a controller can be heard but has not heard from the
// state service for long, while the leader has: refused alone, it can neither
// start anything nor learn of it, and others must take over what it holds.
func (l *leadership) useless(p *peerInfo) bool {
	n := l.n
	return p.stale > n.blockLease && n.now()-l.freshSince > n.blockLease+2*pingEvery
}

// mute reports whether the holder of a home has heard nothing of its machines
// for so long that chance can't be the cause, while another controller hears
// them: they try the others one after the other and are sent back, until their
// leases run out. A controller that only workers can't reach looks so, and one
// whose machines are all gone does not.
func (l *leadership) mute(shard int, p *peerInfo) bool {
	n := l.n
	now := n.now()
	if !l.work(shard) || shard >= len(p.hears) {
		return false
	}
	seen := 0
	for name, note := range p.notes {
		if _, m := n.book.Machines.Find(name); m != nil && m.Shard == shard && note.Seen {
			seen++
		}
	}
	if seen < 4 {
		return false
	}
	// Ten reports were due in that time, however few machines there are.
	patience := max(workerPatience, 10*n.Settings.Cluster.Workers.Report()/time.Duration(seen))
	if now-p.pinged > pingEvery*3 || now-max(p.hears[shard], l.grantAt[shard], l.since) < patience {
		return false
	}
	return slices.ContainsFunc(n.nodes, func(node string) bool { return l.hears(l.peers[node], shard) })
}

// hears reports whether machines of a shard have lately reported to a controller.
func (l *leadership) hears(p *peerInfo, shard int) bool {
	now := l.n.now()
	return p != nil && now-p.pinged < aliveFor && shard < len(p.hears) && p.hears[shard] > 0 && now-p.hears[shard] < aliveFor
}

// crowded reports whether a home had better move: its controller has another
// one too, while one that has long been well has none. After many controllers
// have ended, all homes are with those that were left.
func (l *leadership) crowded(shard int, held map[string]int) bool {
	n := l.n
	now := n.now()
	if !l.work(shard) || held[n.book.Grants[shard].Node] < 2 || now-l.movedAt < spreadAfter || now-l.since < spreadAfter {
		return false
	}
	return slices.ContainsFunc(n.nodes, func(node string) bool {
		p := l.peers[node]
		return p != nil && held[node] == 0 && p.fresh && now-p.heard < aliveFor && now-p.since > spreadAfter
	})
}

// spreadAfter is how long a controller must have been well before a home moves
// to it, and the least time between two such moves: each costs a handing over.
const spreadAfter = 15 * time.Second

// work reports whether a shard is a home.
func (l *leadership) work(shard int) bool { return shard < l.n.book.Homes }

// choose chooses a controller for a shard among those that will do: one that is
// alive, with the fewest shards that are homes, rather not the leader, which has
// the fleet to see to.
func (l *leadership) choose(shard int, held map[string]int, will func(node string) bool) string {
	n := l.n
	now := n.now()
	best, cost := "", 0
	for i, node := range n.nodes {
		p := l.peers[node]
		if p == nil || p.left || now-p.heard >= aliveFor || l.useless(p) || !will(node) {
			continue
		}
		c := held[node]*100 + (i+len(n.nodes)-shard)%len(n.nodes)
		if node == n.Settings.Node {
			c += 10
		}
		if !p.fresh {
			c += 1000
		}
		if best == "" || c < cost {
			best, cost = node, c
		}
	}
	return best
}

// best is choose among all.
func (l *leadership) best(shard int, held map[string]int) string {
	return l.choose(shard, held, func(string) bool { return true })
}

func (l *leadership) grant(shard int, node string) {
	n := l.n
	g := &n.book.Grants[shard]
	rec := bookkeeping.GrantRecord{Node: node, Incarnation: l.peers[node].incarnation, Token: l.token()}
	n.Log.Info("grant", "shard", shard, "to", node, "token", rec.Token, "term", l.term)
	l.granting[shard] = true
	n.budget.force(n.now(), 1)
	n.State.Txn(protocol.Txn{
		If:   []protocol.Cond{l.cond(), {Key: bookkeeping.GrantKey(shard), Version: g.Version}},
		Then: []protocol.Op{{Put: bookkeeping.GrantKey(shard), Value: bookkeeping.Encode(rec)}},
	}, func(_ uint64, err error) {
		l.granting[shard] = false
		l.grantAt[shard] = n.now() + retryPause
		if err != nil {
			n.Log.Debug("grant not made", "shard", shard, "err", err)
		}
	})
}

// homesTick settles once into how many homes the work is split. Machines split
// among homes can't be packed together, and one controller's sums are simplest,
// so three controllers have one home. With more there are two: one for the work
// that ends and one for services, which need many images in one sight.
func (l *leadership) homesTick() {
	n := l.n
	if n.book.Homes > 0 || l.homing || n.now() < l.homeAt {
		return
	}
	homes := n.Options.Homes
	if homes == 0 {
		homes = min(len(n.nodes)-2, 2)
	}
	rec := bookkeeping.HomesRecord{Homes: max(1, min(homes, n.shards))}
	l.homing = true
	n.State.Txn(protocol.Txn{
		If:   []protocol.Cond{l.cond(), {Key: bookkeeping.KeyHomes, Version: n.book.HomesVer}},
		Then: []protocol.Op{{Put: bookkeeping.KeyHomes, Value: bookkeeping.Encode(rec)}},
	}, func(uint64, error) {
		l.homing = false
		l.homeAt = n.now() + retryPause
	})
}

// sharesTick splits the teams' guarantees and limits among the homes, so that
// each stays one controller's sum. Shares of a team never sum above the whole:
// what one home is to get more, another gives up first, in a record of its own,
// and only once that home's holder has said that it keeps to the smaller share
// is it given on.
func (l *leadership) sharesTick() {
	n := l.n
	b := n.book
	if b.Homes <= 1 || l.sharing || n.now() < l.shareAt {
		return
	}
	settled := true // all homes keep to the shares as they stand
	conds := []protocol.Cond{l.cond(), {Key: bookkeeping.KeyShares, Version: b.SharesVer}}
	for s := range b.Homes {
		g := &b.Grants[s]
		p := l.peers[g.Node]
		settled = settled && p != nil && p.incarnation == g.Incarnation && p.shares == b.SharesVer && p.kept
		conds = append(conds, protocol.Cond{Key: bookkeeping.GrantKey(s), Version: g.Version})
	}
	rec := bookkeeping.SharesRecord{}
	change := false
	needs := l.needs()
	for i := range b.Teams {
		t := &b.Teams[i]
		if !t.Limited() {
			continue
		}
		next := splitShares(t.Shares, needs[i], guaranteedPart(t), settled)
		rec[t.Name] = next
		change = change || !slices.Equal(next, t.Shares)
	}
	if !change {
		return
	}
	l.sharing = true
	n.budget.force(n.now(), 1)
	n.State.Txn(protocol.Txn{If: conds, Then: []protocol.Op{{Put: bookkeeping.KeyShares, Value: bookkeeping.Encode(rec)}}}, func(uint64, error) {
		l.sharing = false
		l.shareAt = n.now() + time.Second
	})
}

const wholeShare = bookkeeping.WholeShare

// need is what a team uses in a home and waits for there, in parts of its limit.
type need struct{ used, waits int }

// splitShares works out a team's next shares from the present ones and what each
// home needs. A home gets more only out of what nobody has, and only while all
// are known to keep to the present shares; when one lacks, what others have
// beyond their due is taken from them first. It lacks when it needs more than its
// share, or more than its share of the guarantee, which is given as a part of the
// limit. Services, which are homes 1 and up, come before the work that ends.
func splitShares(now []int, needs []need, guaranteed int, settled bool) []int {
	homes := len(needs)
	due := make([]int, homes)
	left := wholeShare
	for i, n := range needs {
		due[i] = n.used
		left -= n.used
	}
	for i := range homes {
		home := (i + 1) % homes
		more := max(0, min(needs[home].waits, left))
		due[home] += more
		left -= more
	}
	// What nobody waits for is room to grow, in proportion: as long as all of a
	// team's work fits into its guarantee, each home's part of it then does.
	whole := 0
	for _, n := range needs {
		whole += n.used + n.waits + 1
	}
	for i, n := range needs {
		due[i] += int(float64(max(left, 0)) * 0.999999 * float64(n.used+n.waits+1) / float64(whole)) // never more than there is
	}
	if len(now) != homes {
		return due
	}
	lacks := false
	free := wholeShare
	for i, s := range now {
		n := needs[i].used + needs[i].waits
		lacks = lacks || n > s && due[i] > s || n > int(float64(s)*float64(guaranteed)/wholeShare) && due[i] > s+s/8+wholeShare/200
		free -= s
	}
	next := slices.Clone(now)
	if !lacks || !settled {
		return next
	}
	for i, s := range now {
		switch {
		case due[i] < s:
			next[i] = due[i]
		case due[i] > s:
			more := min(due[i]-s, free)
			next[i] += more
			free -= more
		}
	}
	return next
}

// guaranteedPart is a team's guarantee in parts of its limit.
func guaranteedPart(t *bookkeeping.Team) int {
	part := 1.0
	if t.CPUsMax > 0 && t.CPUs > 0 {
		part = min(part, t.CPUs/t.CPUsMax)
	}
	if t.GPUsMax > 0 && t.GPUs > 0 {
		part = min(part, t.GPUs/t.GPUsMax)
	}
	return int(part * wholeShare)
}

// needs is what each team uses and waits for in each home, in parts of its limit,
// or of its guarantee where it has no limit.
func (l *leadership) needs() [][]need {
	b := l.n.book
	used, waits := make([][]usage, len(b.Teams)), make([][]usage, len(b.Teams))
	for i := range used {
		used[i], waits[i] = make([]usage, b.Homes), make([]usage, b.Homes)
	}
	b.Jobs.All(func(_ int, j *bookkeeping.Job) {
		if j.Over() || j.Home < 0 || j.Home >= b.Homes {
			return
		}
		u, w := &used[j.TeamIdx][j.Home], &waits[j.TeamIdx][j.Home]
		u.cpus += float64(j.Running()) * j.CPUs
		u.gpus += float64(j.Running()) * j.GPUs
		w.cpus += float64(j.Open()) * j.CPUs
		w.gpus += float64(j.Open()) * j.GPUs
	})
	part := func(amount, limit, guarantee float64) int {
		whole := limit
		if whole <= 0 {
			whole = guarantee
		}
		if whole <= 0 {
			return 0
		}
		return int(min(math.Ceil(amount/whole*wholeShare), wholeShare))
	}
	out := make([][]need, len(b.Teams))
	for i := range b.Teams {
		t := &b.Teams[i]
		for home := range b.Homes {
			u, w := used[i][home], waits[i][home]
			out[i] = append(out[i], need{
				max(part(u.cpus, t.CPUsMax, t.CPUs), part(u.gpus, t.GPUsMax, t.GPUs)),
				max(part(w.cpus, t.CPUsMax, t.CPUs), part(w.gpus, t.GPUsMax, t.GPUs)),
			})
		}
	}
	return out
}

// keepsShares reports whether nothing this node holds takes more than the teams'
// shares allow.
func (h *holder) keepsShares() bool {
	b := h.n.book
	for s := range h.desks {
		for i, u := range h.used(s) {
			t := &b.Teams[i]
			if !keeps(u.cpus, t.CPUsMax, b.Share(t, s, t.CPUsMax)) || !keeps(u.gpus, t.GPUsMax, b.Share(t, s, t.GPUsMax)) {
				return false
			}
		}
	}
	return true
}
