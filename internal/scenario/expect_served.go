package scenario

import (
	"fmt"
	"slices"
	"time"

	"rockrun/internal/protocol"
)

// expectServed: "served share=0.5 largest=4m", of every class, every team and every class's
// largest jobs a share is served, and the largest began within a time.
func expectServed(sim *simulation, line *statement) string {
	return sim.unserved(line.number("share", 0.5), line.duration(line.text("largest", "4m")))
}

// unserved says of which jobs too small a share is done or runs, or which of the largest
// began too late, or nothing.
func (s *simulation) unserved(share float64, begin time.Duration) string {
	classes, teams := s.jobsByClassAndTeam()
	groups := map[string][]*userJob{}
	for team, jobs := range teams {
		groups["team "+team] = jobs
	}
	for class, jobs := range classes {
		groups["class "+class] = jobs
		largest := largestOf(jobs)
		if late := s.lateToBegin(largest, begin); late != nil {
			return fmt.Sprintf("%s with %d tasks did not begin in time", late.spec.ID, late.spec.Tasks)
		}
		groups["largest of class "+class] = largest
	}
	for name, jobs := range groups {
		if served := countServed(jobs); float64(served) < share*float64(len(jobs)) {
			return fmt.Sprintf("%d of %d of %s are served", served, len(jobs), name)
		}
	}
	return ""
}

// jobsByClassAndTeam are the accepted jobs that nobody cancelled.
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

// largestOf is the largest tenth of jobs, with all that are as large as the last of them.
func largestOf(jobs []*userJob) []*userJob {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b *userJob) int { return b.spec.Tasks - a.spec.Tasks })
	least := jobs[max(1, len(jobs)/10)-1].spec.Tasks
	return slices.DeleteFunc(jobs, func(job *userJob) bool { return job.spec.Tasks < least })
}

// lateToBegin finds a job that did not begin within a time after it could, or nil.
func (s *simulation) lateToBegin(jobs []*userJob, within time.Duration) *userJob {
	for _, job := range jobs {
		ready := s.readyAt(job)
		if job.startedAt == 0 && s.now-ready > within || job.startedAt-ready > within {
			return job
		}
	}
	return nil
}

// countServed counts the jobs that are done, and the services that have begun.
func countServed(jobs []*userJob) int {
	count := 0
	for _, job := range jobs {
		if job.outcome == protocol.StageDone || job.spec.Kind == protocol.KindService && job.startedAt > 0 {
			count++
		}
	}
	return count
}
