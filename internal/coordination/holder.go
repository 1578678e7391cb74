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

// sync makes the holdings match the grants and the records.
func (h *holder) sync() {
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
	// What a withdrawn or completed job still has on machines is stopped, and what
	// is on a machine that replicas of another home wait for.
	for _, x := range h.list {
		halt := false
		for _, a := range x.attempts {
			switch {
			case a.job.Over() && a.live() && (!a.stop || a.grace > 0):
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
	for j, p := range h.jobs {
		if j.Over() && p.attempts == 0 || h.desks[j.Home] == nil {
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
	i, _ := slices.BinarySearchFunc(h.list, m.Name, func(y *holding, name string) int { return cmp.Compare(y.m.Name, name) })
	h.list = slices.Insert(h.list, i, x)
	for _, ref := range refs(m.Intents) {
		a := &attempt{job: h.n.book.Jobs.Get(ref.Job), task: ref.Task, try: m.Intents[ref].Try, on: x, token: base - 1, inherited: true, planned: now}
		a.stop = a.job.Over()
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
		p = &progress{job: j, done: j.Done.Clone(), doneN: j.DoneN, pages: map[int]*donePage{}}
		h.jobs[j] = p
		if d := h.desks[j.Home]; d != nil {
			for chunk, k := range j.DonePage {
				d.donePage(k).put(p, chunk)
			}
		}
		if !j.Over() && !j.Standing() && p.doneN >= j.Tasks {
			h.ending = append(h.ending, p)
		}
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
	if m == nil || m.Block == "" {
		if len(n.strangers) < 200 {
			n.strangers[r.Machine] = *r
		}
		reply(comeBack("machine not known yet"))
		return
	}
	if !m.There() || m.Shard < 0 || m.Shard >= n.shards {
		reply(comeBack("machine was given back"))
		return
	}
	n.heardFrom[m.Shard] = n.now()
	if n.holds(m.Shard) {
		x := n.hold.machines[m.Name]
		if x == nil || !n.entitled(m.Shard) || r.Token > x.token {
			reply(comeBack("not entitled to this machine now"))
			return
		}
		if !r.Newer(x.session, x.seq) && n.now()-x.heard > workerPatience {
			// A copy that was held back on its way. Nobody waits for its answer,
			// and it must not count as the renewal of a lease.
			reply(comeBack("an old report"))
			return
		}
		n.hold.report(x, r, true)
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

// workerPatience is how long a worker waits for the answer to a report.
const workerPatience = 4 * time.Second

// report takes in what a worker says. Old news is ignored: held packets can
// bring reports minutes late. asked is set where the worker waits for an answer;
// otherwise the report itself answers a command and shows that those get through.
func (h *holder) report(x *holding, r *protocol.Report, asked bool) {
	n := h.n
	now := n.now()
	if !r.Newer(x.session, x.seq) {
		return
	}
	if x.seq == 0 {
		x.firstHeard = now
	}
	h.listen(x, r, asked)
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
	found, news := 0, false
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
			x.busy = true
			continue
		}
		a.seen = r.Seq
		found++
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
			h.outcome(a, t)
			news = true
		}
	}
	if found < len(x.attempts) {
		for _, ref := range refs(x.attempts) {
			a := x.attempts[ref]
			if a.seen == r.Seq || !a.live() {
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
			default:
				continue
			}
			news = true
		}
	}
	if news || x.busy {
		h.kick()
	}
}

// listen judges from a report whether answers and commands reach the machine. A
// worker that hears shows a higher token in its next report, new tasks likewise,
// and its session stays as long as its reports are answered. One that is not so
// is asked to show a higher token; if it doesn't for several reports, what it
// runs ends with its lease, and it must not be counted on.
func (h *holder) listen(x *holding, r *protocol.Report, asked bool) {
	now := h.n.now()
	w := h.n.Settings.Cluster.Workers
	patience := 2*w.Report() + workerPatience
	if x.probe < x.base {
		x.probe, x.probeAt = x.base, x.since
	}
	odd := r.Session > x.session && x.seq > 0 && now-x.answered < w.Lease()/2
	for _, a := range x.attempts {
		odd = odd || a.state == taskPlanned && a.token > 0 && !a.inherited && now-a.sentAt > patience &&
			!slices.ContainsFunc(r.Tasks, func(t protocol.TaskStatus) bool { return t.Attempt == a.try })
	}
	if odd && x.fenced && r.Token >= x.probe && (x.probe == x.base || now-x.probeAt > w.Lease()) {
		x.token++
		x.probe, x.probeAt = x.token, now
	}
	x.suspect = r.Token < x.probe
	deaf := x.suspect && asked && now-x.probeAt > patience
	if deaf && !x.deaf && x.probe == x.base {
		// It may have come up long after it was taken up; then it has not been
		// answered yet.
		deaf = x.seq > 0 && now-x.firstHeard > patience
	}
	if deaf && !x.deaf {
		h.n.Log.Info("machine hears nothing", "machine", x.m.Name, "session", r.Session, "token", r.Token)
	}
	x.deaf = deaf
}

// outcome takes in how a task was reported to have ended.
func (h *holder) outcome(a *attempt, t *protocol.TaskStatus) {
	n := h.n
	x := a.on
	now := n.now()
	p := a.prog
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
	if !x.fenced || !x.busy {
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
		return cmp.Or(compareBool(b.stop, a.stop), cmp.Compare(a.planned, b.planned), cmp.Compare(a.job.Index, b.job.Index), cmp.Compare(a.task, b.task))
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
		case a.state == taskPlanned && a.durable() && !a.job.Over() && !a.inherited:
			cmds = append(cmds, protocol.Command{Verb: protocol.VerbStart, Task: name, Attempt: a.try})
			if a.token == 0 {
				a.sentAt = now
			}
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
	if !n.entitled(x.shard) || n.now() < x.mute || x.addr == "" || !x.m.There() {
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
		n.heardFrom[x.shard] = n.now()
		stale := !done && r.Session != o.Session
		h.report(x, r, false)
		if x.again || stale {
			h.push(x)
		}
	})
}

// unsettled reports whether a machine has tasks that nobody asked for, or a
// stop that still needs its proof.
func (h *holder) unsettled(x *holding) bool {
	// Ended ones are reaped with the next answer or start; that is soon enough.
	if slices.ContainsFunc(x.extras, func(t protocol.TaskStatus) bool { return t.State != protocol.TaskEnded }) {
		return true
	}
	for _, a := range x.attempts {
		if a.live() && a.stop && a.state == taskPlanned {
			return true
		}
	}
	return false
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
		if !x.busy || !n.entitled(x.shard) || !x.fenced {
			continue
		}
		startable, unsettled := h.startable(x), h.unsettled(x)
		if startable || unsettled && n.now()-x.pushed > 500*time.Millisecond {
			h.push(x)
		} else if !unsettled && len(x.extras) == 0 && !slices.ContainsFunc(slices.Collect(maps.Values(x.attempts)), func(a *attempt) bool {
			return a.live() && (a.stop || a.state == taskPlanned)
		}) {
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

// startable reports whether a start waits to be sent that was not sent yet, or
// an order that has gone unheeded.
func (h *holder) startable(x *holding) bool {
	now := h.n.now()
	for _, a := range x.attempts {
		if !a.live() {
			continue
		}
		if a.state == taskPlanned && !a.stop && a.token == 0 && a.durable() {
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
	wanted := slices.ContainsFunc(h.list, func(x *holding) bool {
		return x.notice > 0 || x.m.Phase == bookkeeping.PhaseDrain && x.services > 0
	})
	if !wanted {
		return
	}
	moving := false
	machines := h.list
	for _, x := range machines {
		for _, a := range x.attempts {
			left := (x.notice - now).Seconds()
			if left > 0 && a.state == taskRunning && !a.stop && a.job.CheckpointS > 0 && a.job.SaveS < left && left < a.job.SaveS+3 {
				a.stop, a.grace, x.busy = true, a.job.SaveS, true
			}
			moving = moving || a.live() && a.job.Standing() && (a.stop || a.state != taskRunning)
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
			if a.state != taskRunning || a.stop || !a.job.Standing() {
				continue
			}
			to := h.choose(machines, a.job, a.task, now)
			if to == nil {
				continue
			}
			if _, cached := to.images[a.job.ImageIdx]; cached {
				h.n.Log.Info("move", "job", a.job.ID, "task", a.task, "from", x.m.Name, "to", to.m.Name)
				a.stop, a.grace, moving, x.busy = true, a.job.SaveS, true, true
				break
			}
		}
	}
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
			Name: x.m.Name, Seen: x.fenced, Silent: now - x.heard, Tasks: len(x.attempts), Faulty: x.errors >= 3 || x.slow(), Leaves: x.notice > 0, Deaf: x.deaf,
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
