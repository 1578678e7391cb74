package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// holder reconciles what should be on its machines with what is.
type holder struct {
	n         *Node
	machines  map[string]*holding
	list      []*holding // the same, by name
	writers   map[int]*recordWriter
	placed    map[bookkeeping.TaskRef]int // attempts of a task that are not proven over
	jobs      map[*bookkeeping.Job]*progress
	mine      []*bookkeeping.Job // unfinished jobs of the homes held, in the order of arrival
	jobsSeen  uint64
	jobsOver  uint64 // of the cache, when what is held was last made to match it
	fleetSeen uint64
	usage     map[int][]usage // by home and team
	ranks     [maxRank]int    // live attempts by rank
	services  float64         // CPUs that replicas take
	ended     []*attempt      // completed, waiting to be durable
	ending    []*progress     // all tasks done, waiting to be durable
	finishing int             // of those, being written

	dependentWrites map[*bookkeeping.Job]*dependentWrite // jobs cancelled with another, being written

	tries         uint64
	placingPasses int // passes that placed something
	passScheduled bool
	passAt        time.Duration // no pass before
	drainCheckAt  time.Duration // no look before at what must leave its machine

	summaryAt time.Duration
}

// maxRank bounds protocol.Spec.Rank.
const maxRank = 8

type usage struct{ cpus, gpus float64 }

// progress is what the home knows about a job beyond its record.
type progress struct {
	job      *bookkeeping.Job
	done     bookkeeping.Bits // settled as done here, durable or not
	doneN    int
	pages    map[int]*donePage // by chunk
	next     int               // no task below it waits to be placed
	attempts int
	head     int   // bytes of its head in a page of intents
	within   bool  // fits into its team's guarantee with the team's earlier jobs
	starved  bool  // has once waited too long
	zones    []int // attempts that may be on a machine, by zone
	writing  bool
	wroteAt  uint64
	retryAt  time.Duration
	fails    int
	runs     int             // completed tasks with a known run time
	runSum   float64         // seconds
	failedOn map[string]bool // machines on which tasks of the job failed
	backoff  time.Duration   // no starts before
}

func newHolder(n *Node) *holder {
	return &holder{
		n: n, machines: map[string]*holding{}, placed: map[bookkeeping.TaskRef]int{}, writers: map[int]*recordWriter{},
		jobs: map[*bookkeeping.Job]*progress{}, usage: map[int][]usage{}, dependentWrites: map[*bookkeeping.Job]*dependentWrite{},
	}
}

// used is what a home's attempts take, by team.
func (h *holder) used(home int) []usage {
	u := h.usage[home]
	if u == nil {
		u = make([]usage, len(h.n.Settings.Cluster.Teams))
		h.usage[home] = u
	}
	return u
}

// sync makes the holdings match the grants and the records. Changes come many
// times a second, and nearly all are of pages of intents and of jobs: the machines
// are gone through only for those that change what there is to hold.
func (h *holder) sync() {
	n := h.n
	fleet, over := h.fleetSeen != n.cache.FleetSeen, h.jobsOver != n.cache.JobsOver
	h.fleetSeen, h.jobsOver = n.cache.FleetSeen, n.cache.JobsOver
	if fleet {
		h.syncMachines()
	}
	if !fleet && !over {
		return
	}
	h.stopUnwanted()
	for j, p := range h.jobs {
		if j.Over() && p.attempts == 0 || h.writers[j.Home] == nil {
			delete(h.jobs, j)
		}
	}
}

// syncMachines takes up the machines that are granted and lets go of the others.
func (h *holder) syncMachines() {
	n := h.n
	now := n.now()
	for s := range n.shards {
		if h.writers[s] != nil && !n.holds(s) {
			delete(h.writers, s)
		}
		if h.writers[s] == nil && n.holds(s) && s < n.cache.Homes {
			h.writers[s] = newRecordWriter(h, s)
		}
	}
	for _, x := range slices.Clone(h.list) {
		_, m := n.cache.Machines.Find(x.m.Name)
		if m == x.m && !m.There() {
			h.settleAll(x, "machine is gone")
		}
		if m != x.m || !m.There() || h.writers[m.Shard] == nil || x.shard != m.Shard {
			h.release(x)
		}
	}
	n.cache.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if !m.There() || h.writers[m.Shard] == nil {
			return
		}
		base := max(n.cache.Grants[m.Shard].Token, m.Token)
		x := h.machines[m.Name]
		if x == nil {
			h.adopt(m, base, now)
		} else if base > x.base {
			x.base, x.token, x.fenced = base, max(x.token, base), false
		}
	})
}

// stopUnwanted stops what a cancelled or completed job still has on machines, and what is
// on a machine that replicas of another home wait for.
func (h *holder) stopUnwanted() {
	for _, x := range h.list {
		changed := false
		for _, a := range x.attempts {
			switch {
			case !a.job.Wanted() && a.live() && (!a.stop || a.grace > 0):
				a.stop, a.grace, a.stopSentAt, changed = true, 0, 0, true
			case x.m.Yield && x.m.Phase == bookkeeping.PhaseDrain && !a.job.Standing() && a.live() && !a.stop:
				a.stop, a.stopSentAt, changed = true, 0, true
				if a.job.CheckpointS > 0 {
					a.grace = a.job.SaveS
				}
			}
		}
		if changed {
			x.busy = true
			h.push(x)
		}
	}
}

// adopt takes up a machine. Every recorded intent counts as a task that may be
// on it, for quota as for doubles, until a fenced report shows otherwise.
func (h *holder) adopt(m *bookkeeping.Machine, base uint64, now time.Duration) {
	x := &holding{
		m: m, addr: m.Addr, shard: m.Shard, base: base, token: base, sent: base - 1, since: now, heard: now, answered: now,
		attempts: map[bookkeeping.TaskRef]*attempt{}, images: map[int]time.Duration{}, session: 1,
	}
	h.machines[m.Name] = x
	i, _ := slices.BinarySearchFunc(h.list, m.Name, func(y *holding, name string) int { return cmp.Compare(y.m.Name, name) })
	h.list = slices.Insert(h.list, i, x)
	for _, ref := range refs(m.Intents) {
		a := &attempt{job: h.n.cache.Jobs.Get(ref.Job), task: ref.Task, try: m.Intents[ref].Try, on: x, token: base - 1, inherited: true, planned: now}
		a.stop = !a.job.Wanted()
		h.add(a)
		h.writers[m.Shard].intentPageAt(m.Intents[ref].Page).put(a)
	}
	if len(m.Intents) > 0 {
		x.busy = true
		h.push(x)
	}
}

// release drops a machine that is no longer held, without deciding anything
// about its tasks.
func (h *holder) release(x *holding) {
	for _, ref := range refs(x.attempts) {
		h.remove(x.attempts[ref])
	}
	delete(h.machines, x.m.Name)
	h.list = slices.DeleteFunc(h.list, func(y *holding) bool { return x == y })
}

// add and remove keep the sums of machines and teams.
func (h *holder) add(a *attempt) {
	a.prog = h.progress(a.job)
	a.prog.attempts++
	a.job.Refs++
	a.on.attempts[a.ref()] = a
	a.on.busy = true
	h.placed[a.ref()]++
	h.charge(a, 1)
	if a.job.Image != "" {
		a.on.images[a.job.ImageIdx] = h.n.now()
	}
}

func (h *holder) charge(a *attempt, sign float64) {
	x := a.on
	x.cpus += sign * a.job.CPUs
	x.gpus += sign * a.job.GPUs
	x.memory += sign * a.job.MemoryGB
	if a.job.Standing() {
		x.services += sign * a.job.CPUs
		h.services += sign * a.job.CPUs
	}
	h.ranks[min(a.job.Rank(), maxRank-1)] += int(sign)
	for len(a.prog.zones) <= x.m.ZoneIdx {
		a.prog.zones = append(a.prog.zones, 0)
	}
	a.prog.zones[x.m.ZoneIdx] += int(sign)
	if t := a.job.TeamIdx; t >= 0 {
		u := &h.used(x.shard)[t]
		u.cpus += sign * a.job.CPUs
		u.gpus += sign * a.job.GPUs
	}
}

func (h *holder) remove(a *attempt) {
	if a.live() {
		h.charge(a, -1)
		a.state = taskEnded
	}
	if a.on.attempts[a.ref()] == a {
		delete(a.on.attempts, a.ref())
	}
	if a.page != nil {
		a.page.drop(a, h.n.now())
	}
	if h.placed[a.ref()]--; h.placed[a.ref()] <= 0 {
		delete(h.placed, a.ref())
	}
	a.job.Refs--
	a.prog.attempts--
	a.prog.next = min(a.prog.next, a.task)
	h.n.cache.DropJob(a.job)
}

func (h *holder) progress(j *bookkeeping.Job) *progress {
	p := h.jobs[j]
	if p == nil {
		p = &progress{job: j, done: j.Done.Clone(), doneN: j.DoneN, pages: map[int]*donePage{}, head: len(intentHead(j))}
		h.jobs[j] = p
		if d := h.writers[j.Home]; d != nil {
			d.loadCompleted(p)
		}
		if !j.Over() && !j.Standing() && p.doneN >= j.Tasks {
			h.ending = append(h.ending, p)
		}
	}
	return p
}

// schedulePass asks for a pass over all that this node holds, soon but once. A pass that
// took long is followed by a longer pause, so that reports are answered first.
func (h *holder) schedulePass() {
	if h.passScheduled {
		return
	}
	h.passScheduled = true
	h.n.later(max(5*time.Millisecond, h.passAt-h.n.now()), func() {
		h.passScheduled = false
		h.pass()
	})
}

// tick does what only the passing of time asks for.
func (h *holder) tick() {
	n := h.n
	now := n.now()
	lease := n.Settings.Cluster.Workers.Lease()
	for _, x := range h.list {
		if len(x.attempts) > 0 {
			// The worker's lease is provably out: neither this holder nor, until
			// its knowledge ran out, an earlier one can have renewed it since.
			last := max(x.answered, x.since+n.authority)
			if now > last+lease+lease/1000+config.Margin && now > x.heard+lease {
				h.settleAll(x, "worker's lease is out")
			}
		}
		if !x.fenced && now-x.since < lease && len(x.m.Intents) > 0 {
			h.push(x)
		}
	}
	for s := range n.shards {
		if d := h.writers[s]; d != nil {
			d.flushSoon()
		}
	}
	if now >= h.summaryAt {
		h.summaryAt = now + summaryEvery
		for s := range n.shards {
			if h.writers[s] != nil {
				h.summary(s)
			}
		}
	}
	h.schedulePass()
}

// passPause is the least time between two passes.
const passPause = 25 * time.Millisecond

// pass places what waits, writes what must be durable and sends what follows.
func (h *holder) pass() {
	n := h.n
	if !n.ready {
		return
	}
	n.stats.passes.Add(1)
	began := n.now()
	h.stopForDrains()
	h.place()
	for s := range n.shards {
		if d := h.writers[s]; d != nil && n.entitled(s) {
			d.flush()
		}
	}
	for _, x := range h.list {
		if !x.busy {
			continue
		}
		if !n.entitled(x.shard) || !x.fenced {
			if h.unheeded(x) {
				h.push(x)
			}
			continue
		}
		startable, unsettled := h.startable(x), h.unsettled(x)
		if startable || unsettled && n.now()-x.pushed > 500*time.Millisecond {
			h.push(x)
		} else if !unsettled && !x.reapDue(n.now()) && !x.changing() {
			x.busy = false
		}
	}
	h.finish()
	h.writeDependentCancelled()
	h.passAt = n.now() + max(passPause, 6*(n.now()-began))
}

// refs gives the tasks of a map in a fixed order: what a node does must follow
// from what it knows alone, or no failure could be played again.
func refs[V any](m map[bookkeeping.TaskRef]V) []bookkeeping.TaskRef {
	return slices.SortedFunc(maps.Keys(m), func(a, b bookkeeping.TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
}

// notes tells the leader about the machines held.
func (h *holder) notes() []protocol.MachineNote {
	n := h.n
	now := n.now()
	notes := make([]protocol.MachineNote, 0, len(h.list))
	for _, x := range h.list {
		if !n.holds(x.shard) {
			continue
		}
		note := protocol.MachineNote{
			Name: x.m.Name, Seen: x.fenced, Silent: now - min(x.heard, x.answered), Tasks: len(x.attempts), Faulty: x.errors >= 3 || x.slow(), Leaves: x.notice > 0, Unresponsive: x.unresponsive,
		}
		if x.m.Addr == "" {
			note.Addr = x.addr
		}
		if x.m.Phase == bookkeeping.PhaseDrain && len(x.attempts) == 0 && len(x.m.Intents) == 0 && !h.writers[x.shard].mayName(x) {
			note.Empty = x.m.Drain
		}
		notes = append(notes, note)
	}
	return notes
}
