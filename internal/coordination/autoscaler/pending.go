package autoscaler

import (
	"rockrun/internal/coordination/placement"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// Demands lists the pending tasks that the teams' maximums allow to start, in the order in
// which the job shards place them.
func (f *Fleet) Demands() []Demand {
	jobs, used := f.runnableJobs()
	tasksByZone := f.tasksByZone(jobs)
	placement.Sort(jobs, false)
	var demands []Demand
	for i := range jobs {
		j := jobs[i].Job
		count := tasksWithinMaximum(j, &f.View.Teams[j.TeamIndex], &used[j.TeamIndex])
		if count <= 0 {
			continue
		}
		zones := tasksByZone[j.Index]
		for zone, placed := range zones {
			zones[zone] = tasksAllowedInZone(j, count, placed)
		}
		demands = append(demands, Demand{Job: j, Shard: j.Shard, Count: count, zoneCapacity: zones})
	}
	return demands
}

// runnableJobs lists the jobs with tasks to place, and the current usage of each team.
func (f *Fleet) runnableJobs() (jobs []placement.Candidate, used []quota.Usage) {
	used = make([]quota.Usage, len(f.View.Teams))
	f.View.Jobs.All(func(_ int, j *storage.Job) {
		if j.TeamIndex < 0 {
			return
		}
		used[j.TeamIndex].Add(j, float64(len(j.IntentCounts)))
		if j.Runnable() && j.Shard >= 0 && j.UnplacedTasks() > 0 {
			progress := placement.Progress{Remaining: j.Tasks - j.CompletedCount, Begun: j.RunningTasks() > 0 || j.CompletedCount > 0}
			jobs = append(jobs, placement.NewCandidate(j, f.View.EffectiveRank(j), progress, f.Objectives, f.Now))
		}
	})
	return jobs, used
}

// tasksByZone counts the tasks that may be running in each zone, for each listed job whose
// placement depends on the zones of its other tasks.
func (f *Fleet) tasksByZone(jobs []placement.Candidate) map[int][]int {
	counts := map[int][]int{}
	for i := range jobs {
		if j := jobs[i].Job; isSpread(j) || j.OneZone && j.RunningTasks() > 0 {
			counts[j.Index] = make([]int, f.View.ZoneNames.Len())
		}
	}
	if len(counts) == 0 {
		return counts
	}
	f.View.Machines.All(func(_ int, m *storage.Machine) {
		for ref := range m.Intents {
			if zones := counts[ref.Job]; zones != nil {
				zones[m.ZoneIndex]++
			}
		}
	})
	return counts
}

// isSpread reports whether a job's tasks are spread over zones: at most half of the tasks,
// rounded up, may be in one zone.
func isSpread(j *storage.Job) bool { return j.Spread && j.Tasks > 1 }

// tasksWithinMaximum returns how many of a job's unplaced tasks the team's maximum allows
// to start in addition to the team's usage, and adds these tasks to the usage.
func tasksWithinMaximum(j *storage.Job, team *storage.Team, used *quota.Usage) int {
	count := j.UnplacedTasks()
	for _, amount := range []struct{ used, perTask, maximum float64 }{{used.CPUs, j.CPUs, team.MaxCPUs}, {used.GPUs, j.GPUs, team.MaxGPUs}} {
		if amount.maximum > 0 && amount.perTask > 0 {
			count = min(count, int((amount.maximum-amount.used)/amount.perTask+storage.RoundingTolerance))
		}
	}
	if count > 0 {
		used.Add(j, float64(count))
	}
	return count
}

// tasksAllowedInZone returns how many of a job's unplaced tasks may use resources in a zone
// that already has some of the job's tasks.
func tasksAllowedInZone(j *storage.Job, count, placed int) int {
	// Tasks that share a zone cannot use another zone's resources. If those resources counted
	// as supply, or machines were created there again after each scale-in, the tasks would
	// never get machines in their own zone.
	if j.OneZone && j.RunningTasks() > 0 && placed == 0 {
		return 0
	}
	if isSpread(j) {
		return max(0, (j.Tasks+1)/2-placed)
	}
	return count
}
