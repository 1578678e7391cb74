package provisioning

import (
	"testing"
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/protocol"
)

// TestLateAnswerRecordsNothingTwice: machines whose creation is answered late were adopted by
// their heartbeats meanwhile. The answer must not put them into a second group, whether the
// first one is in the view already or still to be written; the others that it names are
// recorded for the shard that asked for them.
func TestLateAnswerRecordsNothingTwice(t *testing.T) {
	for _, c := range []struct {
		name     string
		recorded bool // the first group is in the view when the answer comes
	}{
		{"recorded", true},
		{"not written yet", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader(t)
			l.provisioner.types.refresh(l.now)
			l.provisioner.scaleOuts.add(autoscaler.ScaleOut{
				Pool: autoscaler.Pool{MachineType: l.replica.View.MachineTypeID("small"), Zone: l.replica.View.ZoneNames.ID("z")}, Count: 2, Shard: 1,
			})
			l.provisioner.scaleOuts.send(l.now)
			l.provisioner.OnUnrecordedHeartbeat(&protocol.AgentHeartbeat{Machine: "m-000001", MachineType: "small", Zone: "z"})
			l.provisioner.adoptions.write()
			if c.recorded {
				l.applyTransactions()
			}
			l.now += 6 * time.Second
			l.cloud.created[0]([]string{"m-000001", "m-000002"}, nil)
			l.provisioner.adoptions.write()
			l.applyTransactions()

			groupsOf := map[string]int{}
			for _, group := range l.replica.View.MachineGroups {
				for _, entry := range group.Machines {
					groupsOf[entry.Name]++
				}
			}
			if groupsOf["m-000001"] != 1 || groupsOf["m-000002"] != 1 {
				t.Errorf("groups by machine: %v", groupsOf)
			}
			if found, created := l.machine("m-000001"), l.machine("m-000002"); found.Shard != 0 || created.Shard != 1 {
				t.Errorf("the one found is in shard %d, the other in shard %d", found.Shard, created.Shard)
			}
		})
	}
}
