package reconcile

import (
	"rockrun/internal/config"
	"rockrun/internal/storage"
)

// Reconciler compares the desired tasks of the shards that this controller holds with the
// tasks that agents report, and acts on the differences. All methods must be called on the
// controller's goroutine.
type Reconciler struct {
	Config
	agents         agentTable
	writers        map[int]*recordWriter // by held job shard
	jobs           map[*storage.Job]*jobProgress
	attemptsByTask map[storage.TaskRef]int // attempts not confirmed terminated, or with a completion that is not durable
	activeJobs     activeJobs
	usage          usageLedger
	completions    completions
	synced         syncedRevisions
	schedule       schedule

	attemptCounter uint64 // attempt numbers used
	placingPasses  int    // passes that placed a task outside a gang
}

// syncedRevisions holds the revisions of the view with which the held agents and jobs were
// last synchronized.
type syncedRevisions struct{ fleet, inactiveJobs uint64 }

// New creates a reconciler that holds no shard.
func New(configuration Config) *Reconciler {
	if configuration.MaxAttemptNumbers == 0 {
		configuration.MaxAttemptNumbers = defaultMaxAttemptNumbers
	}
	return &Reconciler{
		Config:         configuration,
		agents:         agentTable{byName: map[string]*agent{}},
		writers:        map[int]*recordWriter{},
		jobs:           map[*storage.Job]*jobProgress{},
		attemptsByTask: map[storage.TaskRef]int{},
		usage:          newUsageLedger(len(configuration.View.Teams)),
	}
}

// StopInactive requests stops of the remaining attempts of cancelled and ended jobs, and of
// array and gang attempts on draining machines that replicas of another job shard need.
func (r *Reconciler) StopInactive() {
	for _, agent := range r.agents.sorted {
		evict := agent.machine.Evict && agent.draining()
		changed := false
		for _, attempt := range agent.attempts {
			stop := &attempt.stop
			switch {
			case !attempt.live():
			case !attempt.job.Active() && (!stop.requested || stop.graceSeconds > 0):
				stop.request(0)
				changed = true
			case evict && !attempt.job.IsService() && !stop.requested:
				stop.request(attempt.saveGrace())
				changed = true
			}
		}
		if changed {
			agent.needsAttention = true
			r.sendCommands(agent)
		}
	}
}

// addAttempt adds an attempt to its agent, its job's progress and all usage sums.
func (r *Reconciler) addAttempt(attempt *attempt) {
	attempt.progress = r.progressOf(attempt.job)
	attempt.progress.attempts++
	attempt.job.References++
	attempt.agent.attempts[attempt.ref()] = attempt
	attempt.agent.needsAttention = true
	attempt.agent.contact.listing.unlisted++
	r.attemptsByTask[attempt.ref()]++
	r.usage.charge(attempt, 1)
	if attempt.job.Image != "" {
		attempt.agent.imageRequestedAt[attempt.job.ImageIndex] = r.now()
	}
}

// removeAttempt removes an attempt from its agent, its page, its job's progress and all usage
// sums.
func (r *Reconciler) removeAttempt(attempt *attempt) {
	if attempt.blocksTask() {
		r.usage.charge(attempt, -1)
		attempt.state, attempt.awaitsFence = attemptEnded, false
	}
	if !attempt.start.sent() {
		attempt.agent.contact.listing.unlisted--
	}
	ref := attempt.ref()
	if attempt.agent.attempts[ref] == attempt {
		delete(attempt.agent.attempts, ref)
	}
	if attempt.page != nil {
		attempt.page.removeEnded(attempt, r.now())
	}
	if r.attemptsByTask[ref]--; r.attemptsByTask[ref] <= 0 {
		delete(r.attemptsByTask, ref)
	}
	attempt.job.References--
	attempt.progress.attempts--
	attempt.progress.nextTask = min(attempt.progress.nextTask, attempt.task)
	r.View.DeleteJobIfUnreferenced(attempt.job)
}

// Tick does the periodic work: lease expiry, fencing of newly held agents, probes, due
// writes and summaries.
func (r *Reconciler) Tick() {
	now := r.now()
	lease := r.AgentSettings.Lease()
	for _, agent := range r.agents.sorted {
		contact := &agent.contact
		if len(agent.attempts) > 0 && !agent.heldByAnother() {
			// The agent's lease has certainly expired: this holder has not renewed it, and
			// an earlier holder could renew it only until the staleness of that holder's view
			// exceeded MaxStaleness.
			expiry := contact.lastRenewedAt(r.MaxStaleness) + lease + lease/1000 + config.LeaseMargin
			if now > expiry && now > contact.lastHeartbeatAt+lease {
				r.endAllAttempts(agent, "agent's lease has expired")
			}
		}
		if !agent.fence.confirmed && now-contact.heldSince < lease && len(agent.machine.Intents) > 0 {
			r.sendCommands(agent)
		}
	}
	r.resolveDetachedAgents()
	for shard := range r.View.Grants {
		if writer := r.writers[shard]; writer != nil {
			writer.flushIfHeld()
		}
	}
	r.logSummaries(now)
	r.SchedulePass()
}

// HoldsJobShards reports whether this controller holds any job shard.
func (r *Reconciler) HoldsJobShards() bool { return len(r.writers) > 0 }

// JobShardsHeld returns the number of job shards that this controller holds.
func (r *Reconciler) JobShardsHeld() int { return len(r.writers) }

// AttemptNumbersExhausted reports whether the attempt numbers of the held grants are used up.
// The controller must then begin a new generation, which gets new grants.
func (r *Reconciler) AttemptNumbersExhausted() bool { return r.attemptCounter >= r.MaxAttemptNumbers }

// OversizedValues returns the number of values of the held shards that exceed the size limit
// in force.
func (r *Reconciler) OversizedValues() int {
	count := 0
	for _, writer := range r.writers {
		count += writer.oversizedValues()
	}
	return count
}
