package quota

import (
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestGuarantees checks which claims are within a team's guarantee of 4 CPUs and 1 GPU.
// Each task uses 2 CPUs.
func TestGuarantees(t *testing.T) {
	job := func(team, shard int, gpus float64) *storage.Job {
		return &storage.Job{JobSpec: protocol.JobSpec{CPUs: 2, GPUs: gpus}, TeamIndex: team, Shard: shard}
	}
	for _, c := range []struct {
		name      string
		earlier   *storage.Job // claims one task first, unless nil
		job       *storage.Job
		remaining int
		want      bool
	}{
		{"the whole guarantee", nil, job(0, 0, 0), 2, true},
		{"more than the guarantee", nil, job(0, 0, 0), 3, false},
		{"remainder after an earlier job", job(0, 0, 0), job(0, 0, 0), 1, true},
		{"more than the remainder after an earlier job", job(0, 0, 0), job(0, 0, 0), 2, false},
		{"earlier job of another team", job(1, 0, 0), job(0, 0, 0), 2, true},
		{"earlier job of another shard", job(0, 1, 0), job(0, 0, 0), 2, true},
		{"CPUs and GPUs within the guarantee", nil, job(0, 0, 0.5), 2, true},
		{"more GPUs than the guarantee", nil, job(0, 0, 1), 2, false},
		{"more GPUs than the remainder after an earlier job", job(0, 0, 1), job(0, 0, 1), 1, false},
		{"exhausted GPU guarantee does not affect a job without GPUs", job(0, 0, 9), job(0, 0, 0), 1, true},
		{"team without a guarantee", nil, job(1, 0, 0), 1, false},
		{"team with a GPU guarantee only", nil, job(2, 0, 1), 1, false},
	} {
		view := storage.NewView([]storage.Team{
			{Name: "red", GuaranteedCPUs: 4, GuaranteedGPUs: 1}, {Name: "blue", MaxCPUs: 100}, {Name: "green", GuaranteedGPUs: 4},
		}, 2)
		guarantees := NewGuarantees(view)
		if c.earlier != nil {
			guarantees.Claim(c.earlier, 1)
		}
		if got := guarantees.Claim(c.job, c.remaining); got != c.want {
			t.Errorf("%s: within the guarantee: %t, want %t", c.name, got, c.want)
		}
	}
}
