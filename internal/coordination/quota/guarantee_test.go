package quota

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestGuarantees: jobs claim their team's guarantee of 4 CPUs and 1 GPU one after the
// other. Each takes 2 CPUs a task.
func TestGuarantees(t *testing.T) {
	job := func(team, shard int, gpus float64) *storage.Job {
		return &storage.Job{JobSpec: protocol.JobSpec{CPUs: 2, GPUs: gpus}, TeamIndex: team, Shard: shard}
	}
	for _, c := range []struct {
		name      string
		earlier   *storage.Job // which claims a task, where there is one
		job       *storage.Job
		remaining int
		want      bool
	}{
		{"all of it", nil, job(0, 0, 0), 2, true},
		{"more", nil, job(0, 0, 0), 3, false},
		{"what an earlier job left", job(0, 0, 0), job(0, 0, 0), 1, true},
		{"more than an earlier job left", job(0, 0, 0), job(0, 0, 0), 2, false},
		{"an earlier job of another team", job(1, 0, 0), job(0, 0, 0), 2, true},
		{"an earlier job of another shard", job(0, 1, 0), job(0, 0, 0), 2, true},
		{"GPUs as well", nil, job(0, 0, 0.5), 2, true},
		{"more GPUs", nil, job(0, 0, 1), 2, false},
		{"more GPUs with an earlier job", job(0, 0, 1), job(0, 0, 1), 1, false},
		{"GPUs that are used up do not matter to a job without", job(0, 0, 9), job(0, 0, 0), 1, true},
		{"a team without a guarantee", nil, job(1, 0, 0), 1, false},
		{"a team with a guarantee of GPUs alone", nil, job(2, 0, 1), 1, false},
	} {
		view := storage.NewView([]storage.Team{
			{Name: "red", GuaranteedCPUs: 4, GuaranteedGPUs: 1}, {Name: "blue", MaxCPUs: 100}, {Name: "green", GuaranteedGPUs: 4},
		}, 2)
		guarantees := NewGuarantees(view)
		if c.earlier != nil {
			guarantees.Claim(c.earlier, 1)
		}
		if got := guarantees.Claim(c.job, c.remaining); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
