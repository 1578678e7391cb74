package scenario

import (
	"fmt"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// expectServed: "served share=0.5 largest=4m", at least the given share of the jobs of every class,
// of every team and among every class's largest jobs is served, and the largest jobs began within
// the given time after they were ready.
func expectServed(sim *simulation, line *statement) string {
	return sim.checkServed(line.number("share", 0.5), line.duration(line.text("largest", "4m")))
}

// checkServed returns a message that names a group of jobs of which too small a share is served, or
// a largest job that began too late. It returns "" if there is neither.
func (s *simulation) checkServed(share float64, maxStartDelay time.Duration) string {
	classes, teams := s.jobsByClassAndTeam()
	groups := map[string][]*userJob{}
	for team, jobs := range teams {
		groups["team "+team] = jobs
	}
	for class, jobs := range classes {
		groups["class "+class] = jobs
		largest := largestOf(jobs)
		if late := s.findLateStart(largest, maxStartDelay); late != nil {
			return fmt.Sprintf("%s with %d tasks did not begin in time", late.spec.ID, late.spec.Tasks)
		}
		groups["largest of class "+class] = largest
	}
	for name, jobs := range groups {
		if served := countServed(jobs); float64(served) < share*float64(len(jobs)) {
			return fmt.Sprintf("%d of %d jobs of %s are served", served, len(jobs), name)
		}
	}
	return ""
}

// jobsByClassAndTeam groups the accepted, uncancelled jobs by class and by team.
func (s *simulation) jobsByClassAndTeam() (classes, teams map[string][]*userJob) {
	classes, teams = map[string][]*userJob{}, map[string][]*userJob{}
	for _, job := range s.users.jobs {
		if _, cancelled := s.checker.dependencyCancelledAt(job); !job.accepted || job.cancelRequested || cancelled {
			continue
		}
		classes[job.spec.Class] = append(classes[job.spec.Class], job)
		teams[job.spec.Team] = append(teams[job.spec.Team], job)
	}
	return classes, teams
}

// largestOf returns the tenth of the jobs with the most tasks, and all jobs that have as many tasks
// as the smallest job of that tenth.
func largestOf(jobs []*userJob) []*userJob {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b *userJob) int { return b.spec.Tasks - a.spec.Tasks })
	smallest := jobs[max(1, len(jobs)/10)-1].spec.Tasks
	return slices.DeleteFunc(jobs, func(job *userJob) bool { return job.spec.Tasks < smallest })
}

// findLateStart returns a job that did not start within a time after it was ready, or nil.
func (s *simulation) findLateStart(jobs []*userJob, within time.Duration) *userJob {
	for _, job := range jobs {
		ready := s.readyAt(job)
		if job.startedAt == 0 && s.now-ready > within || job.startedAt-ready > within {
			return job
		}
	}
	return nil
}

// countServed counts the jobs that are done and the services that have started.
func countServed(jobs []*userJob) int {
	count := 0
	for _, job := range jobs {
		if job.outcome == protocol.StageDone || job.spec.Kind == protocol.KindService && job.startedAt > 0 {
			count++
		}
	}
	return count
}
