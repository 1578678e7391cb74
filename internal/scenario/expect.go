package scenario

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// expectation checks one line of the expectations and says what is not met, or
// nothing.
type expectation func(s *sim, line *statement) string

// expectations are the verbs of what must be true at the end of a scenario.
var expectations = map[string]expectation{
	"accepted":  expectAccepted,
	"done":      expectDone,
	"cancelled": expectWithdrawn,
	"status":    expectStatus,
	"running":   expectRunning,
	"released":  expectReleased,

	"released-all": expectReleasedAll,

	"cancelled-by-dependency": expectCancelledWith,

	"machines":         expectMachines,
	"all-served":       expectAll,
	"overlap":          expectMeet,
	"served":           expectServed,
	"job-shards-apart": expectApart,
	"machine-deleted":  expectGone,
	"violates":         expectBreaks,

	"starts":                    func(s *sim, line *statement) string { return line.bounds(s.check.starts) },
	"starts-after-cancellation": func(s *sim, line *statement) string { return line.bounds(s.check.lateOnes) },
	"writes":                    func(s *sim, line *statement) string { return line.bounds(s.store.writes) },
	"probes":                    func(s *sim, line *statement) string { return line.bounds(s.users.looks) },
	"records":                   func(s *sim, line *statement) string { return line.bounds(len(s.store.keys(storage.Prefix))) },
	"final-reads":               func(s *sim, line *statement) string { return line.bounds(s.store.finals) },
	"unfinished":                func(s *sim, line *statement) string { return line.bounds(len(s.store.keys(storage.JobKey("")))) },
	"requests":                  func(s *sim, line *statement) string { return line.bounds(s.store.requests) },
	"rejected":                  func(s *sim, line *statement) string { return line.bounds(s.store.rejected) },
	"inherited-oversized":       func(s *sim, line *statement) string { return line.bounds(s.store.inherited) },
	"oversized":                 func(s *sim, line *statement) string { return line.bounds(s.store.oversized()) },
	"grants":                    func(s *sim, line *statement) string { return line.bounds(s.store.grants) },
	"cloud-calls":               func(s *sim, line *statement) string { return line.bounds(s.cloud.calls) },
	"machines-created":          func(s *sim, line *statement) string { return line.bounds(len(s.cloud.rented)) },
}

// bounds says whether a count is outside of a line's least= and most=.
func (line *statement) bounds(count int) string {
	n := float64(count)
	if n > line.num("most", math.Inf(1)) || n < line.num("least", 0) {
		return fmt.Sprintf("there were %d", count)
	}
	return ""
}

func expectAccepted(s *sim, line *statement) string {
	j := s.users.jobs[line.arg(0)]
	if j == nil {
		return "no such job"
	}
	if !j.accepted {
		return fmt.Sprintf("last status %d", j.status)
	}
	return exceeds(line, j.acceptedAt-j.submitted)
}

func expectDone(s *sim, line *statement) string {
	return expectFinal(s, line, protocol.StageDone)
}

func expectWithdrawn(s *sim, line *statement) string {
	if why := expectFinal(s, line, protocol.StageCancelled); why != "" {
		return why
	}
	j := s.users.jobs[line.arg(0)]
	if by := line.text("by", ""); by != "" && j.withdrawnAt > line.duration(by) {
		return fmt.Sprintf("it was confirmed at %s", j.withdrawnAt)
	}
	return ""
}

func expectFinal(s *sim, line *statement, stage string) string {
	j := s.users.jobs[line.arg(0)]
	if j == nil {
		return "no such job"
	}
	if j.final != stage {
		return fmt.Sprintf("it is %q", j.final)
	}
	return exceeds(line, j.finalAt-j.submitted)
}

func expectStatus(s *sim, line *statement) string {
	j := s.users.jobs[line.arg(0)]
	if j == nil || strconv.Itoa(j.status) != line.arg(1) {
		return fmt.Sprintf("it is %v", j)
	}
	return ""
}

func expectRunning(s *sim, line *statement) string {
	n := 0
	if j := s.users.jobs[line.arg(0)]; j != nil {
		n = len(s.check.machinesOf(j.spec.ID))
	}
	if strconv.Itoa(n) != line.arg(1) {
		return fmt.Sprintf("it is %d", n)
	}
	return ""
}

func expectMachines(s *sim, line *statement) string {
	kind := line.text("kind", "")
	n := 0
	for _, r := range s.cloud.rented {
		if !r.gone && (kind == "" || r.Spot == (kind == "spot")) {
			n++
		}
	}
	return line.bounds(n)
}

// expectAll: every accepted job that nobody cancelled runs or is done.
func expectAll(s *sim, _ *statement) string {
	if id := s.check.unserved(); id != "" {
		return id + " is neither done nor runs as a whole"
	}
	return ""
}

// expectMeet: two faults really overlapped.
func expectMeet(s *sim, line *statement) string {
	if s.overlaps(line.arg(0), line.arg(1)) == 0 {
		return "they never did"
	}
	return ""
}

func expectServed(s *sim, line *statement) string {
	return s.served(line.num("share", 0.5), line.duration(line.text("largest", "4m")))
}

// expectApart: no controller holds both homes.
func expectApart(s *sim, _ *statement) string {
	if a := s.hostNow("holder:0"); a == s.hostNow("holder:1") {
		return a.name + " holds both"
	}
	return ""
}

func expectGone(s *sim, line *statement) string {
	if r := s.cloud.find(line.arg(0)); r == nil || !r.gone {
		return "it is still there"
	}
	return ""
}

// expectBreaks is only for scenarios that show that the checker works.
func expectBreaks(s *sim, line *statement) string {
	rule := line.arg(0)
	if !slices.ContainsFunc(s.check.broken, func(b string) bool { return strings.HasPrefix(b, rule) }) {
		return "the checker did not see it"
	}
	return ""
}

// served checks that of every class, every team and every class's largest jobs
// enough are done or run, and that the largest began soon.
func (s *sim) served(share float64, begin time.Duration) string {
	all := map[string][]*userJob{}
	for _, j := range s.users.jobs {
		if _, cancelled := s.check.cancelledBefore(j); j.accepted && !j.asked && !cancelled {
			all["class "+j.spec.Class] = append(all["class "+j.spec.Class], j)
			all["team "+j.spec.Team] = append(all["team "+j.spec.Team], j)
		}
	}
	for name, jobs := range all {
		if !strings.HasPrefix(name, "class ") {
			continue
		}
		slices.SortFunc(jobs, func(a, b *userJob) int { return b.spec.Tasks - a.spec.Tasks })
		// The largest tenth, with all that are as large as the last of them.
		least := jobs[max(1, len(jobs)/10)-1].spec.Tasks
		largest := slices.DeleteFunc(slices.Clone(jobs), func(j *userJob) bool { return j.spec.Tasks < least })
		all["largest of "+name] = largest
		for _, j := range largest {
			if ready := s.readyAt(j); j.beganAt == 0 && s.now-ready > begin || j.beganAt-ready > begin {
				return fmt.Sprintf("%s with %d tasks did not begin in time", j.spec.ID, j.spec.Tasks)
			}
		}
	}
	for name, jobs := range all {
		n := 0
		for _, j := range jobs {
			if j.final == protocol.StageDone || j.spec.Kind == protocol.KindService && j.beganAt > 0 {
				n++
			}
		}
		if float64(n) < share*float64(len(jobs)) {
			return fmt.Sprintf("%d of %d of %s are served", n, len(jobs), name)
		}
	}
	return ""
}

// readyAt is when a job could begin: submitted, and all that it needs complete.
func (s *sim) readyAt(j *userJob) time.Duration {
	ready := j.submitted
	for _, id := range j.spec.Dependencies {
		need := s.users.jobs[id]
		if need == nil || need.completeAt == 0 {
			return s.now
		}
		ready = max(ready, need.completeAt)
	}
	return ready
}

// exceeds says whether something took longer than a line allows with within=.
func exceeds(line *statement, took time.Duration) string {
	if limit := line.text("within", ""); limit != "" && took > line.duration(limit) {
		return fmt.Sprintf("it took %s", took)
	}
	return ""
}
