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
	s := newSimulation(config.Cluster{Teams: []config.Team{{Name: "red", MaxCPUs: 4}}, Agents: config.Agents{LeaseSeconds: 30, CancelSeconds: 60}}, config.DefaultOptions(), 1, io.Discard)
	r := &fakeMachine{pool: machinePool{machineType: "small", zone: "north"}}
	r.Name, r.Type, r.Zone = "m-1", "small", "north"
	s.agents["m-1"] = &fakeAgent{sim: s, machine: r, machineType: &protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16}}
	j := &userJob{spec: protocol.JobSpec{ID: "run-1", Class: "c", Team: "red", Kind: protocol.KindArray, Tasks: 1, CPUs: 2, MemoryGB: 1}}
	j.accepted = true
	s.users.jobs["run-1"] = j
	return s, j
}

// TestCheckerSeesLeftWaiting: a job that waits for 90 s beside room for it is seen,
// and one that waits for something is not.
func TestCheckerSeesLeftWaiting(t *testing.T) {
	for name, c := range map[string]struct {
		change func(sim *simulation, j *userJob)
		seen   bool
	}{
		"room and limit": {func(*simulation, *userJob) {}, true},
		"above limit":    {func(_ *simulation, j *userJob) { j.spec.CPUs = 5 }, false},
		"other zone":     {func(_ *simulation, j *userJob) { j.spec.Zone = "south" }, false},
		"mute machine":   {func(sim *simulation, _ *userJob) { sim.agents["m-1"].outboundPartition = true }, false},
		"no room": {func(sim *simulation, _ *userJob) {
			sim.agents["m-1"].tasks = []*agentTask{{TaskStatus: protocol.TaskStatus{State: protocol.TaskRunning}, spec: &protocol.JobSpec{Team: "blue", CPUs: 3}}}
		}, false},
		"it runs": {func(sim *simulation, _ *userJob) { sim.checker.runningOn["run-1/0"] = []*fakeAgent{sim.agents["m-1"]} }, false},
	} {
		s, j := idleWorld()
		c.change(s, j)
		for s.now = time.Second; s.now < 3*time.Minute; s.now += 5 * time.Second {
			s.checker.checkWaiting()
		}
		if seen := len(s.checker.violations) > 0 && strings.HasPrefix(s.checker.violations[0], "left_waiting"); seen != c.seen {
			t.Errorf("%s: seen %t: %v", name, seen, s.checker.violations)
		}
	}
}

// TestCheckerSeesUnserved: a class, a team or the largest jobs less than half
// served are seen, and a largest job that begins after four minutes.
func TestCheckerSeesUnserved(t *testing.T) {
	s, small := idleWorld()
	s.now = 10 * time.Minute
	small.outcome, small.startedAt = protocol.StageDone, time.Second
	large := &userJob{spec: small.spec}
	large.accepted, large.outcome, large.startedAt = true, protocol.StageDone, 2*time.Minute
	large.spec.ID, large.spec.Tasks = "run-2", 100
	s.users.jobs["run-2"] = large
	if why := s.unserved(0.5, 4*time.Minute); why != "" {
		t.Errorf("all is served: %s", why)
	}
	large.startedAt = 5 * time.Minute
	if why := s.unserved(0.5, 4*time.Minute); !strings.Contains(why, "begin") {
		t.Errorf("a largest job began late: %q", why)
	}
	large.startedAt, large.outcome = time.Second, ""
	if why := s.unserved(0.5, 4*time.Minute); !strings.Contains(why, "largest") {
		t.Errorf("no largest job is served: %q", why)
	}
	large.outcome, small.outcome, small.spec.Class, small.spec.Team = protocol.StageDone, "", "d", "red"
	if why := s.unserved(0.5, 4*time.Minute); why == "" {
		t.Error("a class is not served")
	}
}

// TestCheckerSeesBadSubmissions: a submission that can't run or lacks a field and is
// accepted all the same is seen, and one that is refused is not.
func TestCheckerSeesBadSubmissions(t *testing.T) {
	for status, seen := range map[int]bool{200: true, 201: true, 400: false, 422: false, 503: false, 0: false} {
		s, _ := idleWorld()
		s.checker.invalidAnswered(`{"id":"run-1"}`, status)
		if got := len(s.checker.violations) == 1 && strings.HasPrefix(s.checker.violations[0], "accepted_bad"); got != seen {
			t.Errorf("status %d: seen %t", status, got)
		}
	}
}

// TestCutEndsByAnyName: a controller that was cut under one name and healed under
// another counts as cut exactly until then.
func TestCutEndsByAnyName(t *testing.T) {
	s, _ := idleWorld()
	s.hosts = []*host{{sim: s, name: "a"}, {sim: s, name: "b"}}
	play := func(at time.Duration, verb, what string) {
		t.Helper()
		line := parseStatement(verb + " " + what)
		do := actions[verb](s, line)
		if line.err != nil {
			t.Fatal(line.err)
		}
		s.now = at
		do()
	}
	play(10*time.Second, "partition", "leader store")
	play(11*time.Second, "partition", "a peers")
	play(20*time.Second, "heal", "all store")
	s.now = 21 * time.Second
	s.faults.note("while one part is cut", 0)
	play(22*time.Second, "heal", "all peers")
	s.now = 23 * time.Second
	s.faults.note("after it", 0)
	if s.faults.overlaps("partition", "while one part is cut") != 1 || s.faults.overlaps("partition", "after it") != 0 {
		t.Errorf("spans: %+v", s.faults.spans)
	}
}
