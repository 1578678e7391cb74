package reconcile

import "time"

// summaryInterval is the time between two log summaries of the held job shards.
const summaryInterval = 10 * time.Second

// fullBelowCPUs is the number of free CPUs below which a machine counts as full.
const fullBelowCPUs = 1

// shardSummary counts the machines, pending work and attempts of a job shard.
type shardSummary struct {
	machines, usable, full int
	unplaced               int                   // tasks that are neither done nor placed
	blocked                int                   // jobs whose dependencies are not all done
	notDurable             int                   // live attempts that the records do not name yet
	states                 [attemptEnded + 1]int // attempts by state
}

// logSummaries logs a summary of each held job shard once every summaryInterval.
func (r *Reconciler) logSummaries(now time.Duration) {
	if now < r.schedule.nextSummaryAt {
		return
	}
	r.schedule.nextSummaryAt = now + summaryInterval
	for shard := range r.View.Grants {
		if r.writers[shard] != nil {
			r.logSummary(shard)
		}
	}
}

func (r *Reconciler) logSummary(shard int) {
	s := r.summarize(shard)
	r.Log.Info("job shard summary", "shard", shard, "machines", s.machines, "usable", s.usable, "full", s.full,
		"waiting", s.unplaced, "dependent", s.blocked, "unwritten", s.notDurable,
		"planned", s.states[attemptPlanned], "fetching", s.states[attemptFetching], "running", s.states[attemptRunning],
		"saving", s.states[attemptSaving], "ended", s.states[attemptEnded],
		"pages", len(r.writers[shard].intentPages), "writes", r.Committer.Budget.Level())
}

func (r *Reconciler) summarize(shard int) (summary shardSummary) {
	for _, agent := range r.agents.sorted {
		if agent.shard == shard {
			r.addAgent(&summary, agent)
		}
	}
	for _, job := range r.activeJobs.update(r.View) {
		switch {
		case job.Shard != shard:
		case job.AwaitsDependencies():
			summary.blocked++
		default:
			progress := r.progressOf(job)
			summary.unplaced += max(0, job.Tasks-progress.completedCount-progress.attempts)
		}
	}
	return summary
}

// addAgent adds a machine and its attempts to a summary.
func (r *Reconciler) addAgent(summary *shardSummary, agent *agent) {
	summary.machines++
	if r.schedulable(agent, r.now()) {
		summary.usable++
		if r.freeCapacity(agent).CPUs < fullBelowCPUs {
			summary.full++
		}
	}
	for _, attempt := range agent.attempts {
		summary.states[attempt.state]++
		if !attempt.durable() && attempt.live() {
			summary.notDurable++
		}
	}
}
