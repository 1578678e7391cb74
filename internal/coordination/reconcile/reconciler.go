package reconcile

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Leases are the shard leases of this controller.
type Leases interface {
	// Holds reports whether the view grants a shard to this incarnation.
	Holds(shard int) bool
	// MayActFor reports whether this controller may act for a shard now.
	MayActFor(shard int) bool
	// NoteAgentHeard takes in that an agent of a shard was heard.
	NoteAgentHeard(shard int)
}

// Agents carries commands to agents.
type Agents interface {
	// Execute sends commands to the agent at an address. done is called later on the
	// controller's goroutine, with the agent's heartbeat and whether it has carried out
	// the commands.
	Execute(address string, r protocol.CommandRequest, done func(h *protocol.AgentHeartbeat, executed bool, err error))
}

// Outcomes is told how jobs have ended.
type Outcomes interface {
	// Remember takes in that the final record of a job is durable.
	Remember(job string, final storage.FinalRecord)
}

// Config is all that a Reconciler is made of.
type Config struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	View       *storage.View
	Committer  *kv.Committer
	Leases     Leases
	Agents     Agents
	Outcomes   Outcomes
	Log        *slog.Logger
	// AgentSettings are the intervals that agents keep to.
	AgentSettings config.Agents
	// Objectives are what operators promise for each class of jobs.
	Objectives []config.Objective
	// MaxStaleness is how old a holder's knowledge of cancellations may be while it
	// renews agents' leases.
	MaxStaleness time.Duration
	// MaxAttempts is how many attempt numbers are used under one grant; 0: as many as there
	// are. See AttemptsExhausted.
	MaxAttempts uint64
	// EndOfPass is called at the end of every pass.
	EndOfPass func()
}

// Reconciler reconciles the desired tasks of the shards that this controller holds with
// what their agents report.
type Reconciler struct {
	Config
	agents             map[string]*agent
	sortedAgents       []*agent // the same, by name
	writers            map[int]*recordWriter
	attemptsByTask     map[storage.TaskRef]int // attempts of a task that are not proven over
	jobs               map[*storage.Job]*jobProgress
	activeJobs         []*storage.Job // unfinished jobs of the homes held, in the order of arrival
	seenJobsAdded      uint64
	seenJobsEnded      uint64 // of the cache, when what is held was last made to match it
	seenFleetRevision  uint64
	usage              map[int][]quota.Usage // by home and team
	liveAttemptsByRank [maxRank]int          // live attempts by rank
	serviceCPUs        float64               // CPUs that replicas take
	completedAttempts  []*attempt            // completed, waiting to be durable
	completedJobs      []*jobProgress        // all tasks done, waiting to be durable
	jobEndsInFlight    int                   // of those, being written

	attemptCounter   uint64
	placingPasses    int // passes that placed something
	passScheduled    bool
	nextPassAt       time.Duration // no pass before
	nextDrainCheckAt time.Duration // no look before at what must leave its machine

	nextSummaryAt time.Duration
}

// maxRank bounds protocol.Spec.Rank.
const maxRank = 8

// progress is what the home knows about a job beyond its record.
type jobProgress struct {
	job                *storage.Job
	completed          storage.TaskSet // settled as done here, durable or not
	completedCount     int
	completionPages    map[int]*completionPage // by chunk
	nextTask           int                     // no task below it waits to be placed
	attempts           int
	intentHeaderSize   int   // bytes of its head in a page of intents
	withinGuarantee    bool  // fits into its team's guarantee with the team's earlier jobs
	starved            bool  // has once waited too long
	attemptsByZone     []int // attempts that may be on a machine, by zone
	endInFlight        bool
	endWrittenRevision uint64
	retryAt            time.Duration
	failures           int
	measuredRuns       int             // completed tasks with a known run time
	measuredSeconds    float64         // seconds
	failedOn           map[string]bool // machines on which tasks of the job failed
	backoffUntil       time.Duration   // no starts before
}

// maxAttempts is how far the counter of attempts may go. What is left of the numbers is
// more than can be used between two looks at AttemptsExhausted.
const maxAttempts = election.HolderSteps - 1<<16

// New makes a reconciler that holds nothing yet.
func New(c Config) *Reconciler {
	if c.MaxAttempts == 0 {
		c.MaxAttempts = maxAttempts
	}
	return &Reconciler{
		Config:         c,
		agents:         map[string]*agent{},
		attemptsByTask: map[storage.TaskRef]int{},
		writers:        map[int]*recordWriter{},
		jobs:           map[*storage.Job]*jobProgress{},
		usage:          map[int][]quota.Usage{},
	}
}

func (h *Reconciler) now() time.Duration { return h.Generation.Now() }

// used is what a home's attempts take, by team.
func (h *Reconciler) usageOf(home int) []quota.Usage {
	u := h.usage[home]
	if u == nil {
		u = make([]quota.Usage, len(h.View.Teams))
		h.usage[home] = u
	}
	return u
}

// sync makes the holdings match the grants and the records. Changes come many
// times a second, and nearly all are of pages of intents and of jobs: the machines
// are gone through only for those that change what there is to hold.
func (h *Reconciler) SyncWithRecords() {
	fleet, over := h.seenFleetRevision != h.View.FleetRevision, h.seenJobsEnded != h.View.JobsEnded
	h.seenFleetRevision, h.seenJobsEnded = h.View.FleetRevision, h.View.JobsEnded
	if fleet {
		h.syncMachines()
	}
	if !fleet && !over {
		return
	}
	h.StopInactive()
	for j, p := range h.jobs {
		if j.Ended() && p.attempts == 0 || h.writers[j.Shard] == nil {
			delete(h.jobs, j)
		}
	}
}

// syncMachines takes up the machines that are granted and lets go of the others.
func (h *Reconciler) syncMachines() {
	now := h.now()
	for s := range h.View.Grants {
		if h.writers[s] != nil && !h.Leases.Holds(s) {
			delete(h.writers, s)
		}
		if h.writers[s] == nil && h.Leases.Holds(s) && s < h.View.JobShards {
			h.writers[s] = newRecordWriter(h, s)
		}
	}
	for _, x := range slices.Clone(h.sortedAgents) {
		_, m := h.View.Machines.Find(x.machine.Name)
		if m == x.machine && !m.Exists() {
			h.endAll(x, "machine is gone")
		}
		if m != x.machine || !m.Exists() || h.writers[m.Shard] == nil || x.shard != m.Shard {
			h.release(x)
		}
	}
	h.View.Machines.All(func(_ int, m *storage.Machine) {
		if !m.Exists() || h.writers[m.Shard] == nil {
			return
		}
		base := max(h.View.Grants[m.Shard].FencingToken, m.FencingToken)
		x := h.agents[m.Name]
		if x == nil {
			h.adopt(m, base, now)
		} else if base > x.grantToken {
			x.grantToken, x.currentToken, x.fenceConfirmed = base, max(x.currentToken, base), false
		}
	})
}

// stopUnwanted stops what a cancelled or completed job still has on machines, and what is
// on a machine that replicas of another home wait for.
func (h *Reconciler) StopInactive() {
	for _, x := range h.sortedAgents {
		changed := false
		for _, a := range x.attempts {
			switch {
			case !a.job.Active() && a.live() && (!a.stopRequested || a.graceSeconds > 0):
				a.stopRequested, a.graceSeconds, a.stopSentAt, changed = true, 0, 0, true
			case x.machine.Evict && x.machine.Phase == storage.PhaseDraining && !a.job.IsService() && a.live() && !a.stopRequested:
				a.stopRequested, a.stopSentAt, changed = true, 0, true
				if a.job.CheckpointSeconds > 0 {
					a.graceSeconds = a.job.SaveSeconds
				}
			}
		}
		if changed {
			x.needsAttention = true
			h.sendCommands(x)
		}
	}
}

// adopt takes up a machine. Every recorded intent counts as a task that may be
// on it, for quota as for doubles, until a fenced report shows otherwise.
func (h *Reconciler) adopt(m *storage.Machine, base uint64, now time.Duration) {
	x := &agent{
		machine: m, address: m.Address, shard: m.Shard, grantToken: base, currentToken: base, highestStartToken: base - 1, heldSince: now, lastHeartbeatAt: now, lastAnsweredAt: now,
		attempts: map[storage.TaskRef]*attempt{}, imageWantedAt: map[int]time.Duration{}, epoch: 1,
	}
	h.agents[m.Name] = x
	i, _ := slices.BinarySearchFunc(h.sortedAgents, m.Name, func(y *agent, name string) int { return cmp.Compare(y.machine.Name, name) })
	h.sortedAgents = slices.Insert(h.sortedAgents, i, x)
	for _, ref := range storage.SortedTasks(m.Intents) {
		a := &attempt{job: h.View.Jobs.Get(ref.Job), task: ref.Task, number: m.Intents[ref].Attempt, agent: x, startToken: base - 1, inherited: true, plannedAt: now}
		a.stopRequested = !a.job.Active()
		h.addAttempt(a)
		h.writers[m.Shard].intentPageAt(m.Intents[ref].Page).add(a)
	}
	if len(m.Intents) > 0 {
		x.needsAttention = true
		h.sendCommands(x)
	}
}

// release drops a machine that is no longer held, without deciding anything
// about its tasks.
func (h *Reconciler) release(x *agent) {
	for _, ref := range storage.SortedTasks(x.attempts) {
		h.removeAttempt(x.attempts[ref])
	}
	delete(h.agents, x.machine.Name)
	h.sortedAgents = slices.DeleteFunc(h.sortedAgents, func(y *agent) bool { return x == y })
}

// add and remove keep the sums of machines and teams.
func (h *Reconciler) addAttempt(a *attempt) {
	a.progress = h.progress(a.job)
	a.progress.attempts++
	a.job.References++
	a.agent.attempts[a.ref()] = a
	a.agent.needsAttention = true
	h.attemptsByTask[a.ref()]++
	h.charge(a, 1)
	if a.job.Image != "" {
		a.agent.imageWantedAt[a.job.ImageIndex] = h.now()
	}
}

func (h *Reconciler) charge(a *attempt, sign float64) {
	x := a.agent
	x.cpus += sign * a.job.CPUs
	x.gpus += sign * a.job.GPUs
	x.memory += sign * a.job.MemoryGB
	if a.job.IsService() {
		x.serviceCPUs += sign * a.job.CPUs
		h.serviceCPUs += sign * a.job.CPUs
	}
	h.liveAttemptsByRank[min(a.job.Rank(), maxRank-1)] += int(sign)
	for len(a.progress.attemptsByZone) <= x.machine.ZoneIndex {
		a.progress.attemptsByZone = append(a.progress.attemptsByZone, 0)
	}
	a.progress.attemptsByZone[x.machine.ZoneIndex] += int(sign)
	if t := a.job.TeamIndex; t >= 0 {
		u := &h.usageOf(x.shard)[t]
		u.CPUs += sign * a.job.CPUs
		u.GPUs += sign * a.job.GPUs
	}
}

func (h *Reconciler) removeAttempt(a *attempt) {
	if a.live() {
		h.charge(a, -1)
		a.state = taskEnded
	}
	if a.agent.attempts[a.ref()] == a {
		delete(a.agent.attempts, a.ref())
	}
	if a.page != nil {
		a.page.drop(a, h.now())
	}
	if h.attemptsByTask[a.ref()]--; h.attemptsByTask[a.ref()] <= 0 {
		delete(h.attemptsByTask, a.ref())
	}
	a.job.References--
	a.progress.attempts--
	a.progress.nextTask = min(a.progress.nextTask, a.task)
	h.View.ForgetJob(a.job)
}

func (h *Reconciler) progress(j *storage.Job) *jobProgress {
	p := h.jobs[j]
	if p == nil {
		p = &jobProgress{job: j, completed: j.Completed.Clone(), completedCount: j.CompletedCount, completionPages: map[int]*completionPage{}, intentHeaderSize: len(intentHeader(j))}
		h.jobs[j] = p
		if d := h.writers[j.Shard]; d != nil {
			d.loadCompleted(p)
		}
		if !j.Ended() && !j.IsService() && p.completedCount >= j.Tasks {
			h.completedJobs = append(h.completedJobs, p)
		}
	}
	return p
}

// SchedulePass asks for a pass over all that this node holds, soon but once. A pass that
// took long is followed by a longer pause, so that reports are answered first.
func (h *Reconciler) SchedulePass() {
	if h.passScheduled {
		return
	}
	h.passScheduled = true
	h.Generation.Later(max(5*time.Millisecond, h.nextPassAt-h.now()), func() {
		h.passScheduled = false
		h.pass()
	})
}

// tick does what only the passing of time asks for.
func (h *Reconciler) Tick() {
	now := h.now()
	lease := h.AgentSettings.Lease()
	for _, x := range h.sortedAgents {
		if len(x.attempts) > 0 {
			// The worker's lease is provably out: neither this holder nor, until
			// its knowledge ran out, an earlier one can have renewed it since.
			last := max(x.lastAnsweredAt, x.heldSince+h.MaxStaleness)
			if now > last+lease+lease/1000+config.LeaseMargin && now > x.lastHeartbeatAt+lease {
				h.endAll(x, "worker's lease is out")
			}
		}
		if !x.fenceConfirmed && now-x.heldSince < lease && len(x.machine.Intents) > 0 {
			h.sendCommands(x)
		}
	}
	for s := range h.View.Grants {
		if d := h.writers[s]; d != nil {
			d.flushSoon()
		}
	}
	if now >= h.nextSummaryAt {
		h.nextSummaryAt = now + summaryInterval
		for s := range h.View.Grants {
			if h.writers[s] != nil {
				h.logSummary(s)
			}
		}
	}
	h.SchedulePass()
}

// passPause is the least time between two passes.
const minPassPause = 25 * time.Millisecond

// pass places what waits, writes what must be durable and sends what follows.
func (h *Reconciler) pass() {
	if !h.Replica.Ready() {
		return
	}
	began := h.now()
	h.evictForDrains()
	h.place()
	for s := range h.View.Grants {
		if d := h.writers[s]; d != nil && h.Leases.MayActFor(s) {
			d.flush()
		}
	}
	for _, x := range h.sortedAgents {
		if !x.needsAttention {
			continue
		}
		if !h.Leases.MayActFor(x.shard) || !x.fenceConfirmed {
			if h.hasDueStops(x) {
				h.sendCommands(x)
			}
			continue
		}
		startable, unsettled := h.hasUnsentCommands(x), h.needsResolution(x)
		if startable || unsettled && h.now()-x.commandsSentAt > 500*time.Millisecond {
			h.sendCommands(x)
		} else if !unsettled && !x.reapDue(h.now()) && !x.hasPendingChanges() {
			x.needsAttention = false
		}
	}
	h.writeJobEnds()
	h.EndOfPass()
	h.nextPassAt = h.now() + max(minPassPause, 6*(h.now()-began))
}

// MachineStatuses tells the leader about the machines held.
func (h *Reconciler) MachineStatuses() []protocol.MachineStatus {
	now := h.now()
	notes := make([]protocol.MachineStatus, 0, len(h.sortedAgents))
	for _, x := range h.sortedAgents {
		if !h.Leases.Holds(x.shard) {
			continue
		}
		note := protocol.MachineStatus{
			Name: x.machine.Name, Seen: x.fenceConfirmed, Silent: now - min(x.lastHeartbeatAt, x.lastAnsweredAt), Tasks: len(x.attempts), Faulty: x.consecutiveErrors >= 3 || x.slow(), Leaves: x.terminationAt > 0, Unresponsive: x.unresponsive,
		}
		if x.machine.Address == "" {
			note.Addr = x.address
		}
		if x.machine.Phase == storage.PhaseDraining && len(x.attempts) == 0 && len(x.machine.Intents) == 0 && !h.writers[x.shard].mayStillName(x) {
			note.Empty = x.machine.DrainStamp
		}
		notes = append(notes, note)
	}
	return notes
}

// GrantsWithinQuota lists the grants under which this controller holds job shards of which
// nothing takes more than the quota split allows. It names the grants, not itself: a
// controller that has just been granted a shard may not know yet what is on the machines
// there, and what it said before says nothing of them.
func (h *Reconciler) GrantsWithinQuota() []uint64 {
	b := h.View
	var out []uint64
	for s := range h.writers {
		within := true
		for i, u := range h.usageOf(s) {
			within = within && quota.ShardWithin(b, &b.Teams[i], s, u)
		}
		if within {
			out = append(out, b.Grants[s].FencingToken)
		}
	}
	return out
}

// HoldsJobShards reports whether this controller holds any job shard.
func (h *Reconciler) HoldsJobShards() bool { return len(h.writers) > 0 }

// AttemptsExhausted reports whether the attempt numbers of the grants held are used up:
// the holder must start over under other grants.
func (h *Reconciler) AttemptsExhausted() bool { return h.attemptCounter >= h.MaxAttempts }

// OversizedValues counts the values of the shards held that are over the limit in force.
func (h *Reconciler) OversizedValues() int {
	count := 0
	for _, w := range h.writers {
		count += w.oversizedValues()
	}
	return count
}
