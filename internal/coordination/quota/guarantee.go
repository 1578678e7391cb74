package quota

import "rockrun/internal/storage"

// Guarantees works out which jobs are within their teams' guarantees, one job after the
// other: the earlier ones of a team use up its guarantee first. Each job shard has its own
// share of it.
type Guarantees struct {
	view    *storage.View
	claimed map[int][]Usage // by job shard and team: what the jobs so far take
}

// NewGuarantees begins with no job.
func NewGuarantees(view *storage.View) *Guarantees {
	return &Guarantees{view: view, claimed: map[int][]Usage{}}
}

// Claim takes in a job with a number of tasks that are not completed, and reports whether
// they are within the guarantee of its team, beside what its earlier jobs claimed.
func (g *Guarantees) Claim(j *storage.Job, remaining int) bool {
	if g.claimed[j.Shard] == nil {
		g.claimed[j.Shard] = make([]Usage, len(g.view.Teams))
	}
	team, claimed := &g.view.Teams[j.TeamIndex], &g.claimed[j.Shard][j.TeamIndex]
	claimed.Add(j, float64(remaining))
	if !team.HasGuarantee || claimed.CPUs > g.view.QuotaShare(team, j.Shard, team.GuaranteedCPUs)+storage.RoundingTolerance {
		return false
	}
	return j.GPUs == 0 || claimed.GPUs <= g.view.QuotaShare(team, j.Shard, team.GuaranteedGPUs)+storage.RoundingTolerance
}
