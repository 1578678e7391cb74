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
type expectation func(sim *simulation, line *statement) string

// expectations are the verbs of what must be true at the end of a scenario.
var expectations = map[string]expectation{
	"accepted":  expectAccepted,
	"done":      expectDone,
	"cancelled": expectCancelled,
	"status":    expectStatus,
	"running":   expectRunning,
	"released":  expectReleased,

	"released-all": expectReleasedAll,

	"cancelled-by-dependency": expectCancelledByDependency,

	"machines":         expectMachines,
	"all-served":       expectAllServed,
	"overlap":          expectOverlap,
	"served":           expectServed,
	"job-shards-apart": expectJobShardsApart,
	"machine-deleted":  expectMachineDeleted,
	"violates":         expectViolates,

	"starts":                    func(sim *simulation, line *statement) string { return line.bounds(sim.checker.starts) },
	"starts-after-cancellation": func(sim *simulation, line *statement) string { return line.bounds(sim.checker.startsAfterCancellation) },
	"writes":                    func(sim *simulation, line *statement) string { return line.bounds(sim.store.writes) },
	"probes":                    func(sim *simulation, line *statement) string { return line.bounds(sim.users.probeAnswers) },
	"records":                   func(sim *simulation, line *statement) string { return line.bounds(len(sim.store.keys(storage.Prefix))) },
	"final-reads":               func(sim *simulation, line *statement) string { return line.bounds(sim.store.finalReads) },
	"unfinished":                func(sim *simulation, line *statement) string { return line.bounds(len(sim.store.keys(storage.JobKey("")))) },
	"requests":                  func(sim *simulation, line *statement) string { return line.bounds(sim.store.requests) },
	"rejected":                  func(sim *simulation, line *statement) string { return line.bounds(sim.store.rejected) },
	"inherited-oversized":       func(sim *simulation, line *statement) string { return line.bounds(sim.store.inheritedOversized) },
	"oversized":                 func(sim *simulation, line *statement) string { return line.bounds(sim.store.oversized()) },
	"grants":                    func(sim *simulation, line *statement) string { return line.bounds(sim.store.grantWrites) },
	"cloud-calls":               func(sim *simulation, line *statement) string { return line.bounds(sim.cloud.calls) },
	"machines-created":          func(sim *simulation, line *statement) string { return line.bounds(len(sim.cloud.machines)) },
}

// bounds says whether a count is outside of a line's least= and most=.
func (line *statement) bounds(count int) string {
	n := float64(count)
	if n > line.number("most", math.Inf(1)) || n < line.number("least", 0) {
		return fmt.Sprintf("there were %d", count)
	}
	return ""
}

func expectAccepted(sim *simulation, line *statement) string {
	j := sim.users.jobs[line.arg(0)]
	if j == nil {
		return "no such job"
	}
	if !j.accepted {
		return fmt.Sprintf("last status %d", j.status)
	}
	return exceeds(line, j.acceptedAt-j.submittedAt)
}

func expectDone(sim *simulation, line *statement) string {
	return expectFinal(sim, line, protocol.StageDone)
}

func expectCancelled(sim *simulation, line *statement) string {
	if why := expectFinal(sim, line, protocol.StageCancelled); why != "" {
		return why
	}
	j := sim.users.jobs[line.arg(0)]
	if by := line.text("by", ""); by != "" && j.cancelledAt > line.duration(by) {
		return fmt.Sprintf("it was confirmed at %s", j.cancelledAt)
	}
	return ""
}

func expectFinal(sim *simulation, line *statement, stage string) string {
	j := sim.users.jobs[line.arg(0)]
	if j == nil {
		return "no such job"
	}
	if j.outcome != stage {
		return fmt.Sprintf("it is %q", j.outcome)
	}
	return exceeds(line, j.outcomeAt-j.submittedAt)
}

func expectStatus(sim *simulation, line *statement) string {
	j := sim.users.jobs[line.arg(0)]
	if j == nil || strconv.Itoa(j.status) != line.arg(1) {
		return fmt.Sprintf("it is %v", j)
	}
	return ""
}

func expectRunning(sim *simulation, line *statement) string {
	n := 0
	if j := sim.users.jobs[line.arg(0)]; j != nil {
		n = len(sim.checker.machinesOf(j.spec.ID))
	}
	if strconv.Itoa(n) != line.arg(1) {
		return fmt.Sprintf("it is %d", n)
	}
	return ""
}

func expectMachines(sim *simulation, line *statement) string {
	kind := line.text("kind", "")
	n := 0
	for _, r := range sim.cloud.machines {
		if !r.deleted && (kind == "" || r.Spot == (kind == "spot")) {
			n++
		}
	}
	return line.bounds(n)
}

// expectAll: every accepted job that nobody cancelled runs or is done.
func expectAllServed(sim *simulation, _ *statement) string {
	if id := sim.checker.unservedJob(); id != "" {
		return id + " is neither done nor runs as a whole"
	}
	return ""
}

// expectMeet: two faults really overlapped.
func expectOverlap(sim *simulation, line *statement) string {
	if sim.overlaps(line.arg(0), line.arg(1)) == 0 {
		return "they never did"
	}
	return ""
}

func expectServed(sim *simulation, line *statement) string {
	return sim.servedWell(line.number("share", 0.5), line.duration(line.text("largest", "4m")))
}

// expectApart: no controller holds both homes.
func expectJobShardsApart(sim *simulation, _ *statement) string {
	if a := sim.hostNow("holder:0"); a == sim.hostNow("holder:1") {
		return a.name + " holds both"
	}
	return ""
}

func expectMachineDeleted(sim *simulation, line *statement) string {
	if r := sim.cloud.find(line.arg(0)); r == nil || !r.deleted {
		return "it is still there"
	}
	return ""
}

// expectBreaks is only for scenarios that show that the checker works.
func expectViolates(sim *simulation, line *statement) string {
	rule := line.arg(0)
	if !slices.ContainsFunc(sim.checker.violations, func(b string) bool { return strings.HasPrefix(b, rule) }) {
		return "the checker did not see it"
	}
	return ""
}

// served checks that of every class, every team and every class's largest jobs
// enough are done or run, and that the largest began soon.
func (s *simulation) servedWell(share float64, begin time.Duration) string {
	all := map[string][]*userJob{}
	for _, j := range s.users.jobs {
		if _, cancelled := s.checker.dependencyCancelledAt(j); j.accepted && !j.cancelRequested && !cancelled {
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
			if ready := s.readyAt(j); j.startedAt == 0 && s.now-ready > begin || j.startedAt-ready > begin {
				return fmt.Sprintf("%s with %d tasks did not begin in time", j.spec.ID, j.spec.Tasks)
			}
		}
	}
	for name, jobs := range all {
		n := 0
		for _, j := range jobs {
			if j.outcome == protocol.StageDone || j.spec.Kind == protocol.KindService && j.startedAt > 0 {
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
func (s *simulation) readyAt(j *userJob) time.Duration {
	ready := j.submittedAt
	for _, id := range j.spec.Dependencies {
		need := s.users.jobs[id]
		if need == nil || need.completedAt == 0 {
			return s.now
		}
		ready = max(ready, need.completedAt)
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
