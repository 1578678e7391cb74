package autoscaler

import (
	"rockrun/internal/coordination/placement"
	"rockrun/internal/coordination/quota"
	"rockrun/internal/storage"
)

// Demands lists what waits, in the order in which the job shards serve it, within the
// teams' maximums.
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
		for zone, there := range zones {
			zones[zone] = tasksAllowedInZone(j, count, there)
		}
		demands = append(demands, Demand{Job: j, Shard: j.Shard, Count: count, zoneCapacity: zones})
	}
	return demands
}

// runnableJobs lists the jobs with tasks to place, and what each team uses already.
func (f *Fleet) runnableJobs() (jobs []placement.Candidate, used []quota.Usage) {
	used = make([]quota.Usage, len(f.View.Teams))
	f.View.Jobs.All(func(_ int, j *storage.Job) {
		if j.TeamIndex < 0 {
			return
		}
		used[j.TeamIndex].Add(j, float64(len(j.IntendedTasks)))
		if j.Runnable() && j.Shard >= 0 && j.OpenTasks() > 0 {
			progress := placement.Progress{Remaining: j.Tasks - j.CompletedCount, Begun: j.RunningTasks() > 0 || j.CompletedCount > 0}
			jobs = append(jobs, placement.NewCandidate(j, f.View.EffectiveRank(j), progress, f.Objectives, f.Now))
		}
	})
	return jobs, used
}

// tasksByZone counts, for each job of a list to which it matters, the tasks that may be in
// each zone.
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

// isSpread reports whether no zone may have much more than half of a job's tasks.
func isSpread(j *storage.Job) bool { return j.Spread && j.Tasks > 1 }

// tasksWithinMaximum is how many of a job's open tasks the team's maximum lets start, beside
// what it uses; it is added to that.
func tasksWithinMaximum(j *storage.Job, team *storage.Team, used *quota.Usage) int {
	count := j.OpenTasks()
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

// tasksAllowedInZone is how many of a job's tasks may use room in a zone where some are
// already.
func tasksAllowedInZone(j *storage.Job, count, there int) int {
	// Tasks that share a zone can't use room in any other: counted as supply, or rented
	// anew each time it is given back, they would never get theirs.
	if j.OneZone && j.RunningTasks() > 0 && there == 0 {
		return 0
	}
	if isSpread(j) {
		return max(0, (j.Tasks+1)/2-there)
	}
	return count
}
