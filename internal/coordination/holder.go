package coordination

import (
	"cmp"
	"maps"
	"net/http"
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
	task      int
	try       uint64
	on        *holding
	state     taskState
	cause     string
	token     uint64 // highest token under which a start may have been sent
	session   uint64 // the worker's session at that time; 0: not known
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
	fenced   bool
	session  uint64
	seq      uint64
	since    time.Duration // when this holding began
	heard    time.Duration // last report
	answered time.Duration // last time a report was answered 200
	notice   time.Duration // when the cloud takes the machine; 0: not announced
	extras   []protocol.TaskStatus
	attempts map[bookkeeping.TaskRef]*attempt
	cpus     float64 // taken by live attempts
	gpus     float64
	memory   float64

	inFlight bool // a direct command is on its way
	again    bool // and another is wanted
	mute     time.Duration
	pushed   time.Duration

	writing bool
	wroteAt uint64 // revision that must be in the book before the next write
	writeAt time.Duration
	dirtyAt time.Duration

	images map[int]time.Duration // when an image was last wanted here
	errors int                   // in a row
	pace   float64               // run times here by those of the same jobs elsewhere
	paced  int                   // completed tasks that pace rests on
	avoid  time.Duration         // no new tasks before
}

// holder reconciles what should be on its machines with what is.
type holder struct {
	n        *Node
	machines map[string]*holding
	placed   map[bookkeeping.TaskRef]int // attempts of a task that are not proven over
	jobs     map[*bookkeeping.Job]*progress
	usage    []usage // by team
	tries    uint64
	kicked   bool
}

type usage struct{ cpus, gpus float64 }

// progress is what the home knows about a job beyond its record.
type progress struct {
	done     bookkeeping.Bits // settled as done here, durable or not
	doneN    int
	next     int // no task below it waits to be placed
	writing  bool
	wroteAt  uint64
	retryAt  time.Duration
	dirtyAt  time.Duration
	fails    int
	runs     int             // completed tasks with a known run time
	runSum   float64         // seconds
	failedOn map[string]bool // machines on which tasks of the job failed
	backoff  time.Duration   // no starts before
}

func newHolder(n *Node) *holder {
	return &holder{
		n: n, machines: map[string]*holding{}, placed: map[bookkeeping.TaskRef]int{},
		jobs: map[*bookkeeping.Job]*progress{}, usage: make([]usage, len(n.Settings.Cluster.Teams)),
	}
}

// sync makes the holdings match the grants and the records.
func (h *holder) sync() {
	n := h.n
	now := n.now()
	for _, x := range h.sorted() {
		_, m := n.book.Machines.Find(x.m.Name)
		if m != x.m || (m.Version == 0 || m.Phase == bookkeeping.PhaseGone) && m.IntentVersion == 0 || !n.holds(m.Shard) || x.shard != m.Shard {
			h.release(x)
			continue
		}
		if m.Phase == bookkeeping.PhaseGone {
			h.settleAll(x, "machine is gone")
		}
	}
	n.book.Machines.All(func(_ int, m *bookkeeping.Machine) {
		if !n.holds(m.Shard) || m.Version == 0 || m.Phase == bookkeeping.PhaseGone && m.IntentVersion == 0 {
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
	// What a withdrawn or completed job still has on machines is stopped.
	for _, x := range h.sorted() {
		halt := false
		for _, a := range x.attempts {
			if a.job.Over() && a.live() && (!a.stop || a.grace > 0) {
				a.stop, a.grace, a.halted, halt = true, 0, 0, true
			}
		}
		if halt {
			h.push(x)
		}
	}
	for j := range h.jobs {
		if j.Over() && j.Refs == 0 || !n.holds(n.book.Home(j)) {
			delete(h.jobs, j)
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
	for _, ref := range refs(m.Intents) {
		a := &attempt{job: h.n.book.Jobs.Get(ref.Job), task: ref.Task, try: m.Intents[ref], on: x, token: base - 1, inherited: true, planned: now}
		a.stop = a.job.Over()
		h.add(a)
	}
	if m.Phase == bookkeeping.PhaseGone {
		h.settleAll(x, "machine is gone")
		return
	}
	if len(m.Intents) > 0 {
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
}

// add and remove keep the sums of machines and teams.
func (h *holder) add(a *attempt) {
	a.job.Refs++
	a.on.attempts[a.ref()] = a
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
	if t := a.job.TeamIdx; t >= 0 {
		h.usage[t].cpus += sign * a.job.CPUs
		h.usage[t].gpus += sign * a.job.GPUs
	}
}

func (h *holder) remove(a *attempt) {
	if a.live() {
		h.charge(a, -1)
	}
	delete(a.on.attempts, a.ref())
	if h.placed[a.ref()]--; h.placed[a.ref()] <= 0 {
		delete(h.placed, a.ref())
	}
	a.job.Refs--
	if p := h.jobs[a.job]; p != nil {
		p.next = min(p.next, a.task)
	}
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
	x := a.on
	if x.dirtyAt == 0 {
		x.dirtyAt = h.n.now()
	}
	if cause == protocol.CauseDone && !a.job.Over() && a.job.Kind != protocol.KindService {
		p := h.progress(a.job)
		if !p.done.Has(a.task) {
			p.done.Set(a.task)
			p.doneN++
			if p.dirtyAt == 0 {
				p.dirtyAt = h.n.now()
			}
		}
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
		p = &progress{done: j.Done.Clone(), doneN: j.DoneN}
		h.jobs[j] = p
	}
	return p
}

// OnReport answers a worker's report.
func (n *Node) OnReport(r *protocol.Report, reply func(Answer)) {
	if !n.ready {
		reply(comeBack("starting"))
		return
	}
	_, m := n.book.Machines.Find(r.Machine)
	if m == nil || m.Version == 0 {
		if len(n.strangers) < 200 {
			n.strangers[r.Machine] = *r
		}
		reply(comeBack("machine not known yet"))
		return
	}
	if m.Phase == bookkeeping.PhaseGone || m.Shard < 0 || m.Shard >= n.shards {
		reply(comeBack("machine was given back"))
		return
	}
	if n.holds(m.Shard) {
		x := n.hold.machines[m.Name]
		if x == nil || !n.entitled(m.Shard) || r.Token > x.token {
			reply(comeBack("not entitled to this machine now"))
			return
		}
		n.hold.report(x, r)
		x.answered = n.now()
		cmds := n.hold.orders(x)
		reply(Answer{Status: http.StatusOK, Body: protocol.Orders{Token: x.token, Commands: cmds}})
		if !x.fenced {
			n.hold.push(x)
		}
		return
	}
	g := &n.book.Grants[m.Shard]
	if g.Version == 0 || g.Node == n.Settings.Node {
		reply(comeBack("no holder yet"))
		return
	}
	n.Log.Debug("redirect", "machine", r.Machine, "to", g.Node)
	reply(Answer{Status: http.StatusMisdirectedRequest, Body: protocol.Redirect{Boss: g.Node}})
}

// report takes in what a worker says. Old news is ignored: held packets can
// bring reports minutes late.
func (h *holder) report(x *holding, r *protocol.Report) {
	n := h.n
	now := n.now()
	if !r.Newer(x.session, x.seq) {
		return
	}
	x.session, x.seq, x.heard = r.Session, r.Seq, now
	x.fenced = r.Token >= x.base
	if r.Address != "" {
		x.addr = r.Address
	}
	if r.NoticeS != nil {
		x.notice = now + time.Duration(*r.NoticeS*float64(time.Second))
	} else {
		x.notice = 0
	}
	x.extras = x.extras[:0]
	seen := make(map[bookkeeping.TaskRef]bool, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, task, err := protocol.SplitTask(t.Task)
		if err != nil {
			n.Log.Warn("report names no task", "machine", r.Machine, "task", t.Task)
			continue
		}
		idx, _ := n.book.Jobs.Find(id)
		ref := bookkeeping.TaskRef{Job: idx, Task: task}
		a := x.attempts[ref]
		if idx < 0 || a == nil || a.try != t.Attempt {
			x.extras = append(x.extras, *t)
			continue
		}
		seen[ref] = true
		if !a.live() {
			continue
		}
		switch t.State {
		case protocol.TaskFetching, protocol.TaskWaiting:
			a.state = taskFetching
		case protocol.TaskRunning:
			if a.state != taskRunning {
				a.state, a.ran = taskRunning, now
			}
		case protocol.TaskSaving:
			a.state = taskSaving
		case protocol.TaskEnded:
			h.ended(a, t)
		}
	}
	for _, ref := range refs(x.attempts) {
		a := x.attempts[ref]
		if seen[ref] || !a.live() {
			continue
		}
		switch {
		case a.session != 0 && r.Session > a.session:
			h.end(a, "session over")
		case a.state != taskPlanned:
			// Seen before and not any more: it is over. Only a new session or a
			// reap of ours does this, and both come after its end.
			h.end(a, "vanished")
		case a.inherited && x.fenced, a.stop && a.token > 0 && r.Token > a.token:
			// Not there, and every start that was ever sent for it is fenced.
			h.end(a, "never started")
		}
	}
	h.kick()
}

// ended takes in that a task was reported ended.
func (h *holder) ended(a *attempt, t *protocol.TaskStatus) {
	n := h.n
	x := a.on
	now := n.now()
	p := h.progress(a.job)
	switch t.Cause {
	case protocol.CauseDone:
		x.errors, p.fails, p.failedOn = 0, 0, nil
		if a.ran > 0 {
			x.measure(p, (now - a.ran).Seconds())
		}
	case protocol.CauseError:
		p.fails++
		if p.failedOn == nil {
			p.failedOn = map[string]bool{}
		}
		p.failedOn[x.m.Name] = true
		// A faulty machine fails whatever it is given; a faulty job fails
		// wherever it is, and after the second machine the fault is taken to be
		// the job's. Both are tried again ever more slowly.
		if len(p.failedOn) < 3 {
			x.errors++
			x.avoid = now + time.Duration(min(x.errors, 6))*10*time.Second
		}
		p.backoff = now + min(time.Duration(1<<min(p.fails, 6))*250*time.Millisecond, 20*time.Second)
		n.Log.Info("task failed", "task", t.Task, "machine", x.m.Name, "errors", x.errors, "fails", p.fails)
	case protocol.CauseFull, protocol.CauseInUse:
		x.avoid = now + 2*time.Second
		n.Log.Warn("start refused", "task", t.Task, "machine", x.m.Name, "cause", t.Cause)
	case protocol.CauseNoSuch:
		p.backoff = now + 2*time.Second
		n.Log.Warn("job unknown to worker", "task", t.Task, "machine", x.m.Name)
	}
	h.end(a, t.Cause)
}

// measure compares a completed task's run time with those of its own job: the
// owners' estimates are too often wrong to tell a slow machine by.
func (x *holding) measure(p *progress, took float64) {
	if p.runs >= 2 && p.runSum > 0 {
		ratio := took / (p.runSum / float64(p.runs))
		if x.paced == 0 {
			x.pace = 1
		}
		x.pace += (ratio - x.pace) * 0.3
		x.paced++
	}
	p.runs++
	p.runSum += took
}

// slow reports whether a machine has shown to be much slower than others.
func (x *holding) slow() bool { return x.paced >= 4 && x.pace > 1.6 }

// orders works out the difference between what should be on a machine and what
// its last report showed.
func (h *holder) orders(x *holding) []protocol.Command {
	cmds := []protocol.Command{}
	if !x.fenced {
		return cmds
	}
	now := h.n.now()
	zero := 0.0
	reaps := false
	for _, t := range x.extras {
		if t.State == protocol.TaskEnded {
			reaps = true
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbReap, Task: t.Task, Attempt: t.Attempt})
		} else {
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		}
	}
	// After a reap the worker has forgotten the attempt, and a start of it that
	// was repeated or held back on the way would run it again. So a reap always
	// goes out under a higher token than any start before it.
	if reaps && x.sent >= x.token {
		x.token++
	}
	list := make([]*attempt, 0, len(x.attempts))
	for _, a := range x.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		if a.stop != b.stop {
			if a.stop {
				return -1
			}
			return 1
		}
		if a.planned != b.planned {
			return int(a.planned - b.planned)
		}
		return a.task - b.task
	})
	for _, a := range list {
		name := protocol.TaskName(a.job.ID, a.task)
		switch {
		case !a.live():
		case a.stop:
			if a.state == taskPlanned && a.token == 0 {
				h.end(a, "not started") // no start was ever sent
				continue
			}
			if a.state == taskPlanned && a.token >= x.token {
				x.token = a.token + 1 // so that its absence will prove something
			}
			g := a.grace
			a.halted = now
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbStop, Task: name, Attempt: a.try, GraceS: &g})
		case a.state == taskPlanned && x.m.Intents[a.ref()] == a.try && !a.job.Over() && !a.inherited:
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbStart, Task: name, Attempt: a.try})
			a.token, a.session = x.token, x.session
			x.sent = x.token
		}
	}
	return cmds
}

// push sends a machine its orders at once instead of with its next report.
func (h *holder) push(x *holding) {
	n := h.n
	if x.inFlight {
		x.again = true
		return
	}
	if !n.entitled(x.shard) || n.now() < x.mute || x.addr == "" || x.m.Phase == bookkeeping.PhaseGone {
		return
	}
	cmds := h.orders(x)
	if len(cmds) == 0 && x.fenced {
		return
	}
	x.inFlight, x.again, x.pushed = true, false, n.now()
	o := protocol.DirectOrders{Token: x.token, Session: x.session, Commands: cmds}
	n.Workers.Command(x.addr, o, func(r *protocol.Report, done bool, err error) {
		x.inFlight = false
		if h.machines[x.m.Name] != x || n.hold != h {
			return
		}
		if err != nil {
			// Whether it was carried out is open; the next report will tell.
			n.Log.Debug("no answer to commands", "machine", x.m.Name, "err", err)
			x.mute = n.now() + n.jitter(time.Second)
			return
		}
		if r.Machine != x.m.Name || r.Token > x.token {
			return
		}
		stale := !done && r.Session != o.Session
		h.report(x, r)
		if x.again || stale {
			h.push(x)
		}
	})
}

// unsettled reports whether a machine has tasks that nobody asked for, or a
// stop that still needs its proof.
func (h *holder) unsettled(x *holding) bool {
	if len(x.extras) > 0 {
		return true
	}
	for _, a := range x.attempts {
		if a.live() && a.stop && a.state == taskPlanned {
			return true
		}
	}
	return false
}

// kick asks for a pass over all that this node holds, soon but once.
func (h *holder) kick() {
	if h.kicked {
		return
	}
	h.kicked = true
	h.n.later(5*time.Millisecond, func() {
		h.kicked = false
		h.pass()
	})
}

// tick does what only the passing of time asks for.
func (h *holder) tick() {
	n := h.n
	now := n.now()
	lease := n.Settings.Cluster.Workers.Lease()
	for _, x := range h.sorted() {
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
	h.pass()
}

// pass places what waits, writes what must be durable and sends what follows.
func (h *holder) pass() {
	n := h.n
	if !n.ready {
		return
	}
	h.stops()
	h.place()
	for _, x := range h.sorted() {
		if n.entitled(x.shard) {
			h.writeIntents(x)
			if x.fenced && (h.startable(x) || h.unsettled(x) && n.now()-x.pushed > 500*time.Millisecond) {
				h.push(x)
			}
		}
	}
	h.writeDone()
}

// sorted gives the holdings in a fixed order.
func (h *holder) sorted() []*holding {
	list := make([]*holding, 0, len(h.machines))
	for _, x := range h.machines {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *holding) int {
		if a.m.Name < b.m.Name {
			return -1
		}
		return 1
	})
	return list
}

// mine gives the jobs this home works on in a fixed order.
func (h *holder) mine() []*bookkeeping.Job {
	return slices.SortedFunc(maps.Keys(h.jobs), func(a, b *bookkeeping.Job) int { return cmp.Compare(a.Index, b.Index) })
}

// refs gives the tasks of a map in a fixed order: what a node does must follow
// from what it knows alone, or no failure could be played again.
func refs[V any](m map[bookkeeping.TaskRef]V) []bookkeeping.TaskRef {
	return slices.SortedFunc(maps.Keys(m), func(a, b bookkeeping.TaskRef) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task))
	})
}

// startable reports whether a start waits to be sent that was not sent yet, or
// an order that has gone unheeded.
func (h *holder) startable(x *holding) bool {
	now := h.n.now()
	for ref, a := range x.attempts {
		if !a.live() {
			continue
		}
		if a.state == taskPlanned && !a.stop && a.token == 0 && x.m.Intents[ref] == a.try {
			return true
		}
		if a.stop && (a.halted == 0 || now-a.halted > 2*time.Second && a.state != taskSaving) {
			return true
		}
	}
	return false
}

// stops decides which tasks must leave: those of a machine that the cloud takes
// and which can save in time, and services of machines that go back.
func (h *holder) stops() {
	now := h.n.now()
	moving := false
	machines := h.sorted()
	for _, x := range machines {
		for _, a := range x.attempts {
			left := (x.notice - now).Seconds()
			if left > 0 && a.state == taskRunning && !a.stop && a.job.CheckpointS > 0 && a.job.SaveS < left && left < a.job.SaveS+3 {
				a.stop, a.grace = true, a.job.SaveS
			}
			moving = moving || a.live() && a.job.Kind == protocol.KindService && (a.stop || a.state != taskRunning)
		}
	}
	// Replicas move one at a time, and only to room that is free now on a machine
	// that has their image, so that a move costs no more than a stop and a start.
	for _, x := range machines {
		if moving || x.m.Phase != bookkeeping.PhaseDrain || !h.n.entitled(x.shard) || !x.fenced {
			continue
		}
		for _, ref := range refs(x.attempts) {
			a := x.attempts[ref]
			if a.state != taskRunning || a.stop || a.job.Kind != protocol.KindService {
				continue
			}
			to := h.choose(machines, a.job, a.task, nil, now)
			if to == nil {
				continue
			}
			if _, cached := to.images[a.job.ImageIdx]; cached {
				h.n.Log.Info("move", "job", a.job.ID, "task", a.task, "from", x.m.Name, "to", to.m.Name)
				a.stop, a.grace, moving = true, a.job.SaveS, true
				break
			}
		}
	}
}

// writeIntents makes a machine's record say what may be on it. A task only
// starts once the record names it; the write depends on the grant and on the
// leader's record of the machine, so that nothing can be put on a machine that
// has meanwhile been granted elsewhere or is going back.
func (h *holder) writeIntents(x *holding) {
	n := h.n
	now := n.now()
	if x.writing || n.revision < x.wroteAt || now < x.writeAt {
		return
	}
	adds, drops := false, false
	for ref, a := range x.attempts {
		if x.m.Intents[ref] != a.try && a.live() && !a.stop {
			adds = true
		}
	}
	for ref, try := range x.m.Intents {
		if a := x.attempts[ref]; a == nil || a.try != try {
			drops = true
		}
	}
	if x.m.Phase == bookkeeping.PhaseGone && x.m.IntentVersion != 0 && len(x.attempts) == 0 {
		drops = true // the record itself goes
	}
	if !adds && !drops {
		x.dirtyAt = 0
		return
	}
	if x.dirtyAt == 0 {
		x.dirtyAt = now
	}
	if !adds && now-x.dirtyAt < 400*time.Millisecond {
		return // removals alone wait for company
	}
	if !n.budget.take(now, 1) {
		return
	}
	rec := bookkeeping.IntentRecord{Tasks: []bookkeeping.IntentTask{}}
	for _, ref := range refs(x.attempts) {
		a := x.attempts[ref]
		if !a.live() && a.cause != protocol.CauseDone {
			continue
		}
		rec.Tasks = append(rec.Tasks, bookkeeping.IntentTask{Task: protocol.TaskName(a.job.ID, a.task), Attempt: a.try})
	}
	key := bookkeeping.IntentKey(x.m.Name)
	op := protocol.Op{Put: key, Value: bookkeeping.Encode(rec)}
	if x.m.Phase == bookkeeping.PhaseGone && len(rec.Tasks) == 0 {
		op = protocol.Op{Delete: key}
	}
	x.writing = true
	n.State.Txn(protocol.Txn{
		If: []protocol.Cond{
			{Key: key, Version: x.m.IntentVersion},
			{Key: bookkeeping.MachineKey(x.m.Name), Version: x.m.Version},
			{Key: bookkeeping.GrantKey(x.shard), Version: n.book.Grants[x.shard].Version},
		},
		Then: []protocol.Op{op},
	}, func(revision uint64, err error) {
		x.writing, x.dirtyAt = false, 0
		if n.hold != h {
			return
		}
		if err != nil {
			n.Log.Debug("intents not written", "machine", x.m.Name, "err", err)
			x.writeAt = n.now() + n.jitter(retryPause/2)
			return
		}
		x.wroteAt = revision
	})
}

// writeDone makes completed tasks durable: the job's final state once all are,
// until then parts of the set, gathered for a moment to spare writes.
func (h *holder) writeDone() {
	n := h.n
	now := n.now()
	for _, j := range h.mine() {
		p := h.jobs[j]
		if j.Over() {
			continue
		}
		if p.writing || n.revision < p.wroteAt || now < p.retryAt {
			continue
		}
		shard := n.book.Home(j)
		if !n.entitled(shard) {
			continue
		}
		grant := protocol.Cond{Key: bookkeeping.GrantKey(shard), Version: n.book.Grants[shard].Version}
		record := protocol.Cond{Key: bookkeeping.JobKey(j.ID), Version: j.Version}
		t := protocol.Txn{If: []protocol.Cond{record, grant}}
		switch {
		case p.doneN >= j.Tasks && j.Kind != protocol.KindService:
			t.Then = []protocol.Op{
				{Delete: bookkeeping.JobKey(j.ID)},
				{Put: bookkeeping.FinalKey(j.ID), Value: bookkeeping.Encode(bookkeeping.FinalRecord{Stage: protocol.StageDone, Done: j.Tasks})},
			}
			for chunk := range j.DoneVer {
				if len(t.Then) < n.Settings.Cluster.State.TxnOps {
					t.Then = append(t.Then, protocol.Op{Delete: bookkeeping.DoneKey(j.ID, chunk)})
				}
			}
		case p.doneN > j.DoneN && now-p.dirtyAt > 500*time.Millisecond:
			chunk := h.dirtyChunk(j, p)
			if chunk < 0 {
				continue
			}
			part := p.done[chunk*bookkeeping.ChunkTasks/8:]
			part = part[:min(len(part), bookkeeping.ChunkTasks/8)]
			t.If = append(t.If, protocol.Cond{Key: bookkeeping.DoneKey(j.ID, chunk), Version: j.DoneVer[chunk]})
			t.Then = []protocol.Op{{Put: bookkeeping.DoneKey(j.ID, chunk), Value: bookkeeping.Encode([]byte(part))}}
		default:
			continue
		}
		if !n.budget.take(now, len(t.Then)) {
			return
		}
		p.writing = true
		final := p.doneN >= j.Tasks
		n.State.Txn(t, func(revision uint64, err error) {
			p.writing = false
			if n.hold != h {
				return
			}
			if err != nil {
				n.Log.Debug("completed tasks not written", "job", j.ID, "err", err)
				p.retryAt = n.now() + n.jitter(retryPause/2)
				return
			}
			p.wroteAt, p.dirtyAt = revision, n.now()
			if final {
				n.remember(j.ID, bookkeeping.FinalRecord{Stage: protocol.StageDone, Done: j.Tasks})
				n.Log.Debug("job done", "job", j.ID)
			}
		})
	}
	// Completed attempts leave their machine once that is durable.
	for _, x := range h.sorted() {
		for _, ref := range refs(x.attempts) {
			a := x.attempts[ref]
			if !a.live() && (a.job.Over() || a.job.Done.Has(ref.Task)) {
				h.remove(a)
				if x.dirtyAt == 0 {
					x.dirtyAt = now
				}
			}
		}
	}
}

// dirtyChunk finds a part of a job's completed tasks that is not durable yet.
func (h *holder) dirtyChunk(j *bookkeeping.Job, p *progress) int {
	for task := range j.Tasks {
		if p.done.Has(task) && !j.Done.Has(task) {
			return task / bookkeeping.ChunkTasks
		}
	}
	return -1
}

// notes tells the leader about the machines held.
func (h *holder) notes() []protocol.MachineNote {
	n := h.n
	now := n.now()
	notes := make([]protocol.MachineNote, 0, len(h.machines))
	for _, x := range h.sorted() {
		if !n.holds(x.shard) {
			continue
		}
		notes = append(notes, protocol.MachineNote{
			Name: x.m.Name, Seen: x.fenced, Silent: now - x.heard, Tasks: len(x.attempts), Faulty: x.errors >= 3 || x.slow(), Leaves: x.notice > 0,
		})
	}
	return notes
}
