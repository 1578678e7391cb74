package quota

import "rockrun/internal/storage"

// Guarantees determines which jobs are within their teams' guaranteed quota. Jobs claim the
// guarantee of their team in the order of the Claim calls. Each job shard has its own part
// of a guarantee.
type Guarantees struct {
	view    *storage.View
	claimed map[int][]Usage // by job shard and team: usage claimed by the jobs so far
}

// NewGuarantees returns a Guarantees without any claims.
func NewGuarantees(view *storage.View) *Guarantees {
	return &Guarantees{view: view, claimed: map[int][]Usage{}}
}

// Claim adds a job's uncompleted tasks to the claims of its team and reports whether the
// team's claims in the job's shard are within the shard's part of the guarantee.
func (g *Guarantees) Claim(job *storage.Job, remaining int) bool {
	if g.claimed[job.Shard] == nil {
		g.claimed[job.Shard] = make([]Usage, len(g.view.Teams))
	}
	team, teamUsage := &g.view.Teams[job.TeamIndex], &g.claimed[job.Shard][job.TeamIndex]
	teamUsage.Add(job, float64(remaining))
	if !team.HasGuarantee || teamUsage.CPUs > g.view.ShardQuota(team, job.Shard, team.GuaranteedCPUs)+storage.RoundingTolerance {
		return false
	}
	return job.GPUs == 0 || teamUsage.GPUs <= g.view.ShardQuota(team, job.Shard, team.GuaranteedGPUs)+storage.RoundingTolerance
}
