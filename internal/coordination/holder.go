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

// taskState is how far an attempt has come.
type taskState int

const (
	taskPlanned  taskState = iota // decided here; the start may have been sent
	taskFetching                  // seen waiting for its image or its gang
	taskRunning
	taskSaving
	taskEnded // seen ended, outcome being made durable
)

// attempt is one try at a task on one machine.
type attempt struct {
	job       *bookkeeping.Job
	prog      *progress
	task      int
	try       uint64
	on        *holding
	page      *page // of intents that names it; nil until one is chosen
	width     int   // of its entry there, the machine's name aside
	state     taskState
	cause     string
	token     uint64 // highest token under which a start may have been sent
	session   uint64 // the worker's session at that time; 0: not known
	sentAt    time.Duration
	seen      uint64 // number of the last report that listed it
	inherited bool   // taken over from an earlier holder, not seen yet
	stop      bool   // wanted gone
	grace     float64
	halted    time.Duration // when the last stop was sent
	planned   time.Duration
	ran       time.Duration // when first seen running
}

func (a *attempt) ref() bookkeeping.TaskRef {
	return bookkeeping.TaskRef{Job: a.job.Index, Task: a.task}
}

// live reports whether the task may still be on the machine.
func (a *attempt) live() bool { return a.state != taskEnded }

// durable reports whether the records name the attempt.
func (a *attempt) durable() bool { return a.on.m.Intents[a.ref()].Try == a.try }

// holding is a holder's view of one machine under its current grant.
type holding struct {
	m     *bookkeeping.Machine
	addr  string // from the record or, earlier, from the worker itself
	shard int
	base  uint64 // token of the grant
	token uint64 // token in use: base plus own steps
	sent  uint64 // highest token under which a start was sent
	// fenced: a report has shown the base token, so no command of an earlier
	// holder can take effect any more.
	fenced     bool
	session    uint64
	seq        uint64
	since      time.Duration // when this holding began
	heard      time.Duration // last report
	firstHeard time.Duration // first report under this grant
	answered   time.Duration // last time a report was answered 200
	notice     time.Duration // when the cloud takes the machine; 0: not announced
	extras     []protocol.TaskStatus
	reapFrom   time.Duration // since when there are completed ones among them; 0: there are none
	attempts   map[bookkeeping.TaskRef]*attempt
	cpus       float64 // taken by live attempts
	gpus       float64
	memory     float64
	services   float64 // CPUs of those that are replicas

	busy     bool // there may be orders to send
	inFlight bool // a direct command is on its way
	again    bool // and another is wanted
	mute     time.Duration
	pushed   time.Duration

	// A machine whose reports arrive may be one that no answer reaches. Where
	// its reports give reason to think so, it is answered under a higher token,
	// which it must show.
	probe   uint64 // token that its reports must show
	probeAt time.Duration
	suspect bool // its last report did not show it
	deaf    bool // nor did others long after

	images map[int]time.Duration // when an image was last wanted here
	errors int                   // in a row
	pace   float64               // run times here by those of the same jobs elsewhere
	paced  int                   // completed tasks that pace rests on
	avoid  time.Duration         // no new tasks before
}

// holder reconciles what should be on its machines with what is.
type holder struct {
	n         *Node
	machines  map[string]*holding
	list      []*holding // the same, by name
	desks     map[int]*desk
	placed    map[bookkeeping.TaskRef]int // attempts of a task that are not proven over
	jobs      map[*bookkeeping.Job]*progress
	mine      []*bookkeeping.Job // unfinished jobs of the homes held, in the order of arrival
	jobsSeen  uint64
	jobsOver  uint64 // of the book, when what is held was last made to match it
	fleetSeen uint64
	usage     map[int][]usage // by home and team
	ranks     [maxRank]int    // live attempts by rank
	services  float64         // CPUs that replicas take
	ended     []*attempt      // completed, waiting to be durable
	ending    []*progress     // all tasks done, waiting to be durable
	finishing int             // of those, being written
	tries     uint64
	turn      int // passes that placed something
	kicked    bool
	passAt    time.Duration // no pass before
	stopsAt   time.Duration // no look before at what must leave its machine

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
		n: n, machines: map[string]*holding{}, placed: map[bookkeeping.TaskRef]int{}, desks: map[int]*desk{},
		jobs: map[*bookkeeping.Job]*progress{}, usage: map[int][]usage{},
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
	fleet, over := h.fleetSeen != n.book.FleetSeen, h.jobsOver != n.book.JobsOver
	h.fleetSeen, h.jobsOver = n.book.FleetSeen, n.book.JobsOver
	if fleet {
		h.syncMachines()
	}
	if !fleet && !over {
		return
	}
	h.halt()
	for j, p := range h.jobs {
		if j.Over() && p.attempts == 0 || h.desks[j.Home] == nil {
			delete(h.jobs, j)
		}
	}
}

// syncMachines takes up the machines that are granted and lets go of the others.
func (h *holder) syncMachines() {
	n := h.n
	now := n.now()
	for s := range n.shards {
		if h.desks[s] != nil && !n.holds(s) {
			delete(h.desks, s)
		}
		if h.desks[s] == nil && n.holds(s) && s < n.book.Homes {
			h.desks[s] = newDesk(h, s)
		}
	}
	for _, x := range slices.Clone(h.list) {
		_, m := n.book.Machines.Find(x.m.Name)
		if m == x.m && !m.There() {
			h.settleAll(x, "machine is gone")
		}
		if m != x.m || !m.There() || h.desks[m.Shard] == nil || x.shard != m.Shard {
			h.release(x)
		}
	}
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if !m.There() || h.desks[m.Shard] == nil {
			return
		}
		base := max(n.book.Grants[m.Shard].Token, m.Token)
		x := h.machines[m.Name]
		if x == nil {
			h.adopt(m, base, now)
		} else if base > x.base {
			x.base, x.token, x.fenced = base, max(x.token, base), false
		}
	})
}

// halt stops what a withdrawn or completed job still has on machines, and what is
// on a machine that replicas of another home wait for.
func (h *holder) halt() {
	for _, x := range h.list {
		halt := false
		for _, a := range x.attempts {
			switch {
			case !a.job.Wanted() && a.live() && (!a.stop || a.grace > 0):
				a.stop, a.grace, a.halted, halt = true, 0, 0, true
			case x.m.Yield && x.m.Phase == bookkeeping.PhaseDrain && !a.job.Standing() && a.live() && !a.stop:
				a.stop, a.halted, halt = true, 0, true
				if a.job.CheckpointS > 0 {
					a.grace = a.job.SaveS
				}
			}
		}
		if halt {
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
		a := &attempt{job: h.n.book.Jobs.Get(ref.Job), task: ref.Task, try: m.Intents[ref].Try, on: x, token: base - 1, inherited: true, planned: now}
		a.stop = !a.job.Wanted()
		h.add(a)
		h.desks[m.Shard].page(m.Intents[ref].Page).put(a)
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
	h.n.book.DropJob(a.job)
}

// end marks an attempt as proven over. A completed one stays until that is
// durable; any other makes its task wait again.
func (h *holder) end(a *attempt, cause string) {
	if !a.live() {
		return
	}
	h.charge(a, -1)
	a.state, a.cause = taskEnded, cause
	if cause == protocol.CauseDone && !a.job.Over() && !a.job.Standing() {
		if p := a.prog; !p.done.Has(a.task) {
			p.done.Set(a.task)
			p.doneN++
			if p.doneN >= a.job.Tasks {
				h.ending = append(h.ending, p)
			} else if d := h.desks[a.on.shard]; d != nil {
				d.completed(p, a.task/bookkeeping.ChunkTasks, h.n.now())
			}
		}
		h.ended = append(h.ended, a)
		return
	}
	h.remove(a)
}

// settleAll ends every attempt of a machine that is proven to run nothing.
func (h *holder) settleAll(x *holding, why string) {
	if len(x.attempts) > 0 {
		h.n.Log.Info("tasks lost", "machine", x.m.Name, "tasks", len(x.attempts), "why", why)
	}
	for _, ref := range refs(x.attempts) {
		h.end(x.attempts[ref], "lost")
	}
	x.extras = nil
}

func (h *holder) progress(j *bookkeeping.Job) *progress {
	p := h.jobs[j]
	if p == nil {
		p = &progress{job: j, done: j.Done.Clone(), doneN: j.DoneN, pages: map[int]*donePage{}, head: len(intentHead(j))}
		h.jobs[j] = p
		if d := h.desks[j.Home]; d != nil {
			d.takeUp(p)
		}
		if !j.Over() && !j.Standing() && p.doneN >= j.Tasks {
			h.ending = append(h.ending, p)
		}
	}
	return p
}

// kick asks for a pass over all that this node holds, soon but once. A pass that
// took long is followed by a longer pause, so that reports are answered first.
func (h *holder) kick() {
	if h.kicked {
		return
	}
	h.kicked = true
	h.n.later(max(5*time.Millisecond, h.passAt-h.n.now()), func() {
		h.kicked = false
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
	if now >= h.summaryAt {
		h.summaryAt = now + summaryEvery
		for s := range n.shards {
			if h.desks[s] != nil {
				h.summary(s)
			}
		}
	}
	h.kick()
}

const summaryEvery = 10 * time.Second

// summary logs how a home stands.
func (h *holder) summary(shard int) {
	n := h.n
	machines, usable, full := 0, 0, 0
	for _, x := range h.list {
		if x.shard != shard {
			continue
		}
		machines++
		if h.usable(x, n.now()) {
			usable++
			if h.free(x).cpus < 1 {
				full++
			}
		}
	}
	states := map[taskState]int{}
	unwritten, waits := 0, 0
	for _, x := range h.list {
		for _, a := range x.attempts {
			if x.shard == shard {
				states[a.state]++
				if !a.durable() && a.live() {
					unwritten++
				}
			}
		}
	}
	for _, j := range h.unfinished() {
		if j.Home == shard {
			p := h.progress(j)
			waits += max(0, j.Tasks-p.doneN-p.attempts)
		}
	}
	n.Log.Info("home", "shard", shard, "machines", machines, "usable", usable, "full", full, "waiting", waits,
		"unwritten", unwritten, "planned", states[taskPlanned], "fetching", states[taskFetching], "running", states[taskRunning],
		"saving", states[taskSaving], "ended", states[taskEnded], "pages", len(h.desks[shard].pages), "writes", n.budget.level)
}

// changing reports whether an attempt is to begin or to end on a machine.
func (x *holding) changing() bool {
	for _, a := range x.attempts {
		if a.live() && (a.stop || a.state == taskPlanned) {
			return true
		}
	}
	return false
}

// passPause is the least time between two passes.
const passPause = 25 * time.Millisecond

// pass places what waits, writes what must be durable and sends what follows.
func (h *holder) pass() {
	n := h.n
	if !n.ready {
		return
	}
	began := n.now()
	h.stops()
	h.place()
	for s := range n.shards {
		if d := h.desks[s]; d != nil && n.entitled(s) {
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
	h.passAt = n.now() + max(passPause, 6*(n.now()-began))
}

// refs gives the tasks of a map in a fixed order: what a node does must follow
// from what it knows alone, or no failure could be played again.
func refs[V any](m map[bookkeeping.TaskRef]V) []bookkeeping.TaskRef {
	return slices.SortedFunc(maps.Keys(m), func(a, b bookkeeping.TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
}

const maxFinishing = 8

// finish makes jobs durable whose tasks are all done, and lets completed
// attempts leave their machines once that is.
func (h *holder) finish() {
	n := h.n
	now := n.now()
	h.ending = slices.DeleteFunc(h.ending, func(p *progress) bool {
		j := p.job
		if j.Over() || h.jobs[j] != p {
			return true
		}
		if p.writing || n.revision < p.wroteAt || now < p.retryAt || !n.entitled(j.Home) || h.finishing >= maxFinishing {
			return false
		}
		// Users wait for it, and there are few jobs beside tasks.
		n.budget.force(now, 2)
		p.writing = true
		h.finishing++
		n.State.Txn(protocol.Txn{
			If: []protocol.Cond{
				{Key: bookkeeping.JobKey(j.ID), Version: j.Version},
				{Key: bookkeeping.GrantKey(j.Home), Version: n.book.Grants[j.Home].Version},
			},
			Then: []protocol.Op{
				{Delete: bookkeeping.JobKey(j.ID)},
				{Put: bookkeeping.FinalKey(j.ID), Value: bookkeeping.Encode(bookkeeping.FinalRecord{Stage: protocol.StageDone, Done: j.Tasks})},
			},
		}, func(revision uint64, err error) {
			p.writing = false
			h.finishing--
			if n.hold != h {
				return
			}
			if err != nil {
				n.Log.Debug("completed job not written", "job", j.ID, "err", err)
				p.retryAt = n.now() + n.jitter(retryPause/2)
				return
			}
			p.wroteAt = revision
			n.remember(j.ID, bookkeeping.FinalRecord{Stage: protocol.StageDone, Done: j.Tasks})
			n.Log.Debug("job done", "job", j.ID)
		})
		return false
	})
	h.ended = slices.DeleteFunc(h.ended, func(a *attempt) bool {
		if h.machines[a.on.m.Name] != a.on || a.on.attempts[a.ref()] != a {
			return true
		}
		if !a.job.Over() && !a.job.Done.Has(a.task) {
			return false
		}
		h.remove(a)
		a.on.busy = true // it can be reaped
		return true
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
			Name: x.m.Name, Seen: x.fenced, Silent: now - min(x.heard, x.answered), Tasks: len(x.attempts), Faulty: x.errors >= 3 || x.slow(), Leaves: x.notice > 0, Deaf: x.deaf,
		}
		if x.m.Addr == "" {
			note.Addr = x.addr
		}
		if x.m.Phase == bookkeeping.PhaseDrain && len(x.attempts) == 0 && len(x.m.Intents) == 0 && !h.desks[x.shard].mayName(x) {
			note.Empty = x.m.Drain
		}
		notes = append(notes, note)
	}
	return notes
}
