package reconcile

import "time"

// summaryInterval is the time between two summaries in the log.
const summaryInterval = 10 * time.Second

// fullBelowCPUs is how few free CPUs make a machine full.
const fullBelowCPUs = 1

// shardSummary is how a job shard stands.
type shardSummary struct {
	machines, usable, full int
	waiting                int // tasks to place
	dependent              int // jobs that wait for others
	unwritten              int // attempts that the records do not name yet
	states                 [attemptEnded + 1]int
}

// logSummaries logs now and then how the job shards held stand.
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
	r.Log.Info("job shard", "shard", shard, "machines", s.machines, "usable", s.usable, "full", s.full,
		"waiting", s.waiting, "dependent", s.dependent, "unwritten", s.unwritten,
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
			summary.dependent++
		default:
			progress := r.progressOf(job)
			summary.waiting += max(0, job.Tasks-progress.completedCount-progress.attempts)
		}
	}
	return summary
}

// addAgent adds an agent and its attempts to a summary.
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
			summary.unwritten++
		}
	}
}
