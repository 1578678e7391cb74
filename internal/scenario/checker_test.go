package scenario

import (
	"io"
	"strings"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// newIdleSimulation returns a simulation with one idle machine and one accepted job that fits
// on it.
func newIdleSimulation() (*simulation, *userJob) {
	sim := newSimulation(config.Cluster{
		Teams:  []config.Team{{Name: "red", MaxCPUs: 4}},
		Agents: config.Agents{LeaseSeconds: 30, CancelSeconds: 60},
	}, config.DefaultOptions(), 1, io.Discard)
	machine := &fakeMachine{}
	machine.Name, machine.Type, machine.Zone = "m-1", "small", "north"
	sim.agents["m-1"] = &fakeAgent{sim: sim, machine: machine, machineType: &protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16}}
	job := &userJob{spec: protocol.JobSpec{ID: "run-1", Class: "c", Team: "red", Kind: protocol.KindArray, Tasks: 1, CPUs: 2, MemoryGB: 1}}
	job.accepted = true
	sim.users.jobs["run-1"] = job
	return sim, job
}

// firstViolationIs reports whether the first recorded violation is of the given rule.
func firstViolationIs(sim *simulation, violated rule) bool {
	violations := sim.checker.violations
	return len(violations) > 0 && strings.HasPrefix(violations[0], string(violated))
}

// TestCheckerDetectsStarvedJob: the checker reports a job that waits for more than 90 s while a
// machine has capacity for it. It reports no job that runs or that has a reason to wait.
func TestCheckerDetectsStarvedJob(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(sim *simulation, job *userJob)
		want   bool
	}{
		"capacity and quota": {func(*simulation, *userJob) {}, true},
		"over team maximum":  {func(_ *simulation, job *userJob) { job.spec.CPUs = 5 }, false},
		"other zone":         {func(_ *simulation, job *userJob) { job.spec.Zone = "south" }, false},
		"outbound partition": {func(sim *simulation, _ *userJob) { sim.agents["m-1"].outboundPartition = true }, false},
		"no capacity": {func(sim *simulation, _ *userJob) {
			running := protocol.TaskStatus{State: protocol.TaskRunning}
			sim.agents["m-1"].tasks = []*agentTask{{TaskStatus: running, spec: &protocol.JobSpec{Team: "blue", CPUs: 3}}}
		}, false},
		"running": {func(sim *simulation, _ *userJob) {
			sim.checker.runningOn["run-1/0"] = []*fakeAgent{sim.agents["m-1"]}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim, job := newIdleSimulation()
			tc.change(sim, job)
			for sim.now = time.Second; sim.now < 3*time.Minute; sim.now += 5 * time.Second {
				sim.checker.checkStarvation()
			}
			if got := firstViolationIs(sim, ruleStarved); got != tc.want {
				t.Errorf("detected %t: %v", got, sim.checker.violations)
			}
		})
	}
}

// TestExpectServedDetectsUnservedJobs: the check reports a class, a team or a group of largest
// jobs of which less than half are served, and a largest job that begins more than four minutes
// after it was ready.
func TestExpectServedDetectsUnservedJobs(t *testing.T) {
	sim, small := newIdleSimulation()
	sim.now = 10 * time.Minute
	small.outcome, small.startedAt = protocol.StageDone, time.Second
	large := &userJob{spec: small.spec}
	large.accepted, large.outcome, large.startedAt = true, protocol.StageDone, 2*time.Minute
	large.spec.ID, large.spec.Tasks = "run-2", 100
	sim.users.jobs["run-2"] = large
	if problem := sim.checkServed(0.5, 4*time.Minute); problem != "" {
		t.Errorf("every job is served, got %q", problem)
	}
	large.startedAt = 5 * time.Minute
	if problem := sim.checkServed(0.5, 4*time.Minute); !strings.Contains(problem, "begin") {
		t.Errorf("a largest job that began late is not reported, got %q", problem)
	}
	large.startedAt, large.outcome = time.Second, ""
	if problem := sim.checkServed(0.5, 4*time.Minute); !strings.Contains(problem, "largest") {
		t.Errorf("a class without a served largest job is not reported, got %q", problem)
	}
	large.outcome, small.outcome, small.spec.Class, small.spec.Team = protocol.StageDone, "", "d", "red"
	if problem := sim.checkServed(0.5, 4*time.Minute); problem == "" {
		t.Error("a class without a served job is not reported")
	}
}

// TestCheckerDetectsInvalidAccepted: the checker reports an invalid submission that is accepted,
// and none that is rejected or unanswered.
func TestCheckerDetectsInvalidAccepted(t *testing.T) {
	for status, want := range map[int]bool{200: true, 201: true, 400: false, 422: false, 503: false, 0: false} {
		sim, _ := newIdleSimulation()
		sim.checker.invalidSubmissionAnswered(`{"id":"run-1"}`, status)
		if got := len(sim.checker.violations) == 1 && firstViolationIs(sim, ruleInvalidAccepted); got != want {
			t.Errorf("status %d: detected %t", status, got)
		}
	}
}
