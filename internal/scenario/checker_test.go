package scenario

import (
	"io"
	"strings"
	"testing"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/protocol"
)

// idleWorld has one machine with room and one accepted job that fits there.
func idleWorld() (*simulation, *userJob) {
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

// sees reports whether the first violation is of a rule.
func sees(sim *simulation, broken rule) bool {
	violations := sim.checker.violations
	return len(violations) > 0 && strings.HasPrefix(violations[0], string(broken))
}

// TestCheckerSeesLeftWaiting: a job that waits for 90 s beside room for it is seen,
// and one that waits for something is not.
func TestCheckerSeesLeftWaiting(t *testing.T) {
	for name, c := range map[string]struct {
		change func(sim *simulation, job *userJob)
		seen   bool
	}{
		"room and limit":     {func(*simulation, *userJob) {}, true},
		"above limit":        {func(_ *simulation, job *userJob) { job.spec.CPUs = 5 }, false},
		"other zone":         {func(_ *simulation, job *userJob) { job.spec.Zone = "south" }, false},
		"outbound partition": {func(sim *simulation, _ *userJob) { sim.agents["m-1"].outboundPartition = true }, false},
		"no room": {func(sim *simulation, _ *userJob) {
			running := protocol.TaskStatus{State: protocol.TaskRunning}
			sim.agents["m-1"].tasks = []*agentTask{{TaskStatus: running, spec: &protocol.JobSpec{Team: "blue", CPUs: 3}}}
		}, false},
		"it runs": {func(sim *simulation, _ *userJob) {
			sim.checker.runningOn["run-1/0"] = []*fakeAgent{sim.agents["m-1"]}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim, job := idleWorld()
			c.change(sim, job)
			for sim.now = time.Second; sim.now < 3*time.Minute; sim.now += 5 * time.Second {
				sim.checker.checkWaiting()
			}
			if seen := sees(sim, ruleLeftWaiting); seen != c.seen {
				t.Errorf("seen %t: %v", seen, sim.checker.violations)
			}
		})
	}
}

// TestCheckerSeesUnserved: a class, a team or the largest jobs less than half
// served are seen, and a largest job that begins after four minutes.
func TestCheckerSeesUnserved(t *testing.T) {
	sim, small := idleWorld()
	sim.now = 10 * time.Minute
	small.outcome, small.startedAt = protocol.StageDone, time.Second
	large := &userJob{spec: small.spec}
	large.accepted, large.outcome, large.startedAt = true, protocol.StageDone, 2*time.Minute
	large.spec.ID, large.spec.Tasks = "run-2", 100
	sim.users.jobs["run-2"] = large
	if why := sim.unserved(0.5, 4*time.Minute); why != "" {
		t.Errorf("all is served: %s", why)
	}
	large.startedAt = 5 * time.Minute
	if why := sim.unserved(0.5, 4*time.Minute); !strings.Contains(why, "begin") {
		t.Errorf("a largest job began late: %q", why)
	}
	large.startedAt, large.outcome = time.Second, ""
	if why := sim.unserved(0.5, 4*time.Minute); !strings.Contains(why, "largest") {
		t.Errorf("no largest job is served: %q", why)
	}
	large.outcome, small.outcome, small.spec.Class, small.spec.Team = protocol.StageDone, "", "d", "red"
	if why := sim.unserved(0.5, 4*time.Minute); why == "" {
		t.Error("a class is not served")
	}
}

// TestCheckerSeesBadSubmissions: a submission that can't run or lacks a field and is
// accepted all the same is seen, and one that is refused is not.
func TestCheckerSeesBadSubmissions(t *testing.T) {
	for status, seen := range map[int]bool{200: true, 201: true, 400: false, 422: false, 503: false, 0: false} {
		sim, _ := idleWorld()
		sim.checker.invalidAnswered(`{"id":"run-1"}`, status)
		if got := len(sim.checker.violations) == 1 && sees(sim, ruleAcceptedBad); got != seen {
			t.Errorf("status %d: seen %t", status, got)
		}
	}
}
