package storage

// Team is a team from the settings and its quota. An amount of 0 means that the team has no
// such guarantee or maximum.
type Team struct {
	Name                    string
	GuaranteedCPUs, MaxCPUs float64
	GuaranteedGPUs, MaxGPUs float64
	HasGuarantee            bool  // set by NewView
	QuotaSplit              []int // parts of WholeQuota, by job shard; nil while not split
}

// HasQuota reports whether the team has a guaranteed or maximum amount to split.
func (t *Team) HasQuota() bool {
	return t.GuaranteedCPUs > 0 || t.MaxCPUs > 0 || t.GuaranteedGPUs > 0 || t.MaxGPUs > 0
}

// Quotas are the teams and the split of their quotas among the job shards.
type Quotas struct {
	Teams             []Team
	TeamNames         Names // same indices as Teams
	QuotaSplitVersion uint64
}

func newQuotas(teams []Team) Quotas {
	quotas := Quotas{Teams: teams}
	for i := range teams {
		team := &teams[i]
		quotas.TeamNames.Index(team.Name)
		team.HasGuarantee = team.GuaranteedCPUs > 0 || team.GuaranteedGPUs > 0
	}
	return quotas
}

func (q *Quotas) applyQuotaSplit(stored storedRecord) error {
	split, newer, err := decodeNewer[QuotaSplitRecord](stored, q.QuotaSplitVersion)
	if !newer {
		return err
	}
	q.QuotaSplitVersion = stored.version
	for i := range q.Teams {
		q.Teams[i].QuotaSplit = split[q.Teams[i].Name]
	}
	return nil
}

// ShardQuota returns a job shard's part of an amount of a team's quota. The part is the
// whole amount if there is at most one job shard, and 0 if there are several and the quota
// has not been split yet.
func (v *View) ShardQuota(team *Team, jobShard int, amount float64) float64 {
	if v.JobShards <= 1 {
		return amount
	}
	if jobShard < 0 || jobShard >= len(team.QuotaSplit) {
		return 0
	}
	return amount * float64(team.QuotaSplit[jobShard]) / WholeQuota
}
