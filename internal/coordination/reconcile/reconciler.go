package reconcile

import (
	"rockrun/internal/config"
	"rockrun/internal/storage"
)

// Reconciler reconciles the desired tasks of the shards that this controller holds with
// what their agents report. All its methods must be called on the controller's goroutine.
type Reconciler struct {
	Config
	agents         agentTable
	writers        map[int]*recordWriter // by job shard held
	jobs           map[*storage.Job]*jobProgress
	attemptsByTask map[storage.TaskRef]int // attempts that are not proven over
	activeJobs     activeJobs
	usage          usageLedger
	completions    completions
	seen           seenRevisions
	schedule       schedule

	attemptCounter uint64 // attempt numbers used
	placingPasses  int    // passes that placed something
}

// seenRevisions are the revisions of the view that the agents and jobs held match.
type seenRevisions struct{ fleet, jobsEnded uint64 }

// New makes a reconciler that holds nothing yet.
func New(parts Config) *Reconciler {
	if parts.MaxAttempts == 0 {
		parts.MaxAttempts = maxAttempts
	}
	return &Reconciler{
		Config:         parts,
		agents:         agentTable{byName: map[string]*agent{}},
		writers:        map[int]*recordWriter{},
		jobs:           map[*storage.Job]*jobProgress{},
		attemptsByTask: map[storage.TaskRef]int{},
		usage:          newUsageLedger(len(parts.View.Teams)),
	}
}

// StopInactive stops what a cancelled or completed job still has on machines, and what is
// on a machine that replicas of another job shard wait for.
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

// addAttempt takes an attempt into the agent's list and all sums.
func (r *Reconciler) addAttempt(attempt *attempt) {
	attempt.progress = r.progressOf(attempt.job)
	attempt.progress.attempts++
	attempt.job.References++
	attempt.agent.attempts[attempt.ref()] = attempt
	attempt.agent.needsAttention = true
	r.attemptsByTask[attempt.ref()]++
	r.usage.charge(attempt, 1)
	if attempt.job.Image != "" {
		attempt.agent.imageWantedAt[attempt.job.ImageIndex] = r.now()
	}
}

// removeAttempt takes an attempt out of the agent's list and all sums.
func (r *Reconciler) removeAttempt(attempt *attempt) {
	if attempt.live() {
		r.usage.charge(attempt, -1)
		attempt.state = attemptEnded
	}
	ref := attempt.ref()
	if attempt.agent.attempts[ref] == attempt {
		delete(attempt.agent.attempts, ref)
	}
	if attempt.page != nil {
		attempt.page.drop(attempt, r.now())
	}
	if r.attemptsByTask[ref]--; r.attemptsByTask[ref] <= 0 {
		delete(r.attemptsByTask, ref)
	}
	attempt.job.References--
	attempt.progress.attempts--
	attempt.progress.nextTask = min(attempt.progress.nextTask, attempt.task)
	r.View.ForgetJob(attempt.job)
}

// Tick does what only the passing of time asks for.
func (r *Reconciler) Tick() {
	now := r.now()
	lease := r.AgentSettings.Lease()
	for _, agent := range r.agents.sorted {
		contact := &agent.contact
		if len(agent.attempts) > 0 && !agent.heldByAnother() {
			// The agent's lease has provably expired: neither this holder nor, until its
			// knowledge ran out, a former one can have renewed it since.
			expiry := contact.lastRenewedAt(r.MaxStaleness) + lease + lease/1000 + config.LeaseMargin
			if now > expiry && now > contact.lastHeartbeatAt+lease {
				r.endAll(agent, "agent's lease has expired")
			}
		}
		if !agent.fence.confirmed && now-contact.heldSince < lease && len(agent.machine.Intents) > 0 {
			r.sendCommands(agent)
		}
	}
	r.settleDisplacedAgents()
	for shard := range r.View.Grants {
		if writer := r.writers[shard]; writer != nil {
			writer.flushSoon()
		}
	}
	r.logSummaries(now)
	r.SchedulePass()
}

// HoldsJobShards reports whether this controller holds any job shard.
func (r *Reconciler) HoldsJobShards() bool { return len(r.writers) > 0 }

// JobShardsHeld is how many job shards this controller holds.
func (r *Reconciler) JobShardsHeld() int { return len(r.writers) }

// AttemptsExhausted reports whether the attempt numbers of the grants held are used up:
// the holder must start over under other grants.
func (r *Reconciler) AttemptsExhausted() bool { return r.attemptCounter >= r.MaxAttempts }

// OversizedValues counts the values of the shards held that are over the limit in force.
func (r *Reconciler) OversizedValues() int {
	count := 0
	for _, writer := range r.writers {
		count += writer.oversizedValues()
	}
	return count
}
