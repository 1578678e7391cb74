package reconcile

import (
	"slices"
	"testing"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// TestAgentTable: agents are found and sorted by machine name, and a removed agent is not
// confused with its successor.
func TestAgentTable(t *testing.T) {
	table := agentTable{byName: map[string]*agent{}}
	agents := map[string]*agent{}
	for _, name := range []string{"m-2", "m-3", "m-1"} {
		agents[name] = newAgent(&storage.Machine{MachineEntry: storage.MachineEntry{Name: name}}, 1, 0)
		table.insert(agents[name])
	}
	if !slices.Equal(table.sorted, []*agent{agents["m-1"], agents["m-2"], agents["m-3"]}) {
		t.Error("agents are not sorted by machine name")
	}
	table.remove(agents["m-2"])
	if table.find("m-2") != nil || table.contains(agents["m-2"]) || len(table.sorted) != 2 {
		t.Error("a removed agent is still in the table")
	}
	table.insert(newAgent(&storage.Machine{MachineEntry: storage.MachineEntry{Name: "m-2"}}, 2, 0))
	if table.find("m-2") == nil || table.contains(agents["m-2"]) || !table.contains(agents["m-3"]) {
		t.Error("an agent is confused with its successor")
	}
}

// TestContact: silence counts from the earlier of the last heartbeat and the last answer. The
// lease counts from the last answer, or from when an earlier holder can have renewed it.
func TestContact(t *testing.T) {
	const maxStaleness = 20 * time.Second
	c := newAgent(&storage.Machine{}, 1, time.Minute).contact
	if c.lastRenewedAt(maxStaleness) != time.Minute+maxStaleness {
		t.Errorf("latest renewal by an earlier holder: %s", c.lastRenewedAt(maxStaleness))
	}
	c.observe(&protocol.AgentHeartbeat{Epoch: 3, Sequence: 7}, 2*time.Minute)
	if c.epoch != 3 || c.sequence != 7 || c.lastExchangeAt() != time.Minute {
		t.Errorf("after an unanswered heartbeat: %+v", c)
	}
	c.lastAnsweredAt = 3 * time.Minute
	if c.lastExchangeAt() != 2*time.Minute || c.lastRenewedAt(maxStaleness) != 3*time.Minute {
		t.Errorf("after an answer: %+v", c)
	}
}

// TestStopCommand: a stop is due until it is sent, and again after stopRetryInterval, but not
// while the task saves its progress. A new stop request is due at once.
func TestStopCommand(t *testing.T) {
	a := &attempt{job: &storage.Job{}}
	a.job.CheckpointSeconds, a.job.SaveSeconds = 10, 5
	expect := func(when string, now time.Duration, due bool) {
		t.Helper()
		if a.stopDue(now) != due {
			t.Errorf("%s: due %t", when, !due)
		}
	}
	expect("not requested", time.Minute, false)
	a.stop.request(a.saveGrace())
	expect("requested", time.Minute, true)
	a.recordStop(time.Minute)
	if command := a.stopCommand(); command.Verb != protocol.VerbStop || *command.GraceSeconds != 5 {
		t.Errorf("%+v", command)
	}
	expect("sent", time.Minute+stopRetryInterval, false)
	expect("sent, without effect", time.Minute+stopRetryInterval+1, true)
	a.state = attemptSaving
	expect("saving", time.Hour, false)
	a.stop.request(0)
	expect("requested again", time.Minute, true)
	a.state = attemptEnded
	expect("ended", time.Hour, false)
}

// TestUsageLedger: removing an attempt subtracts exactly what adding it has added.
func TestUsageLedger(t *testing.T) {
	u := newUsageLedger(2)
	job := &storage.Job{TeamIndex: 1}
	job.Kind, job.CPUs, job.GPUs, job.MemoryGB = protocol.KindService, 2, 1, 8
	a := &attempt{job: job, progress: &jobProgress{}, agent: newAgent(&storage.Machine{ZoneIndex: 1, Shard: 3}, 1, 0)}
	count := 0
	for _, sign := range []int{1, 1, -1, -1} {
		u.charge(a, sign)
		count += sign
		want := float64(count)
		usage, load := u.ofShard(3), a.agent.load
		if usage[1].CPUs != 2*want || usage[1].GPUs != want || usage[0].CPUs != 0 {
			t.Errorf("%d attempts: usage %+v", count, usage)
		}
		if load.cpus != 2*want || load.gpus != want || load.memoryGB != 8*want || load.serviceCPUs != 2*want || u.serviceCPUs != 2*want {
			t.Errorf("%d attempts: load %+v", count, load)
		}
		if u.anyLowerPriority(job.Rank()-1) != (count > 0) || u.anyLowerPriority(job.Rank()) {
			t.Errorf("%d attempts: by rank %v", count, u.countByRank)
		}
		if zones := a.progress.attemptsByZone; len(zones) != 2 || zones[1] != count {
			t.Errorf("%d attempts: by zone %v", count, zones)
		}
	}
}
