package provisioning

import (
	"testing"
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/protocol"
)

// TestLateCreateAnswerDoesNotDuplicateMachines guards against a machine being recorded in two
// groups. The cloud answers a create request late, after a heartbeat has led to the adoption of
// one of the machines. That machine stays in its first group, whether or not the view shows the
// group yet; the other machines are recorded for the job shard that requested them.
func TestLateCreateAnswerDoesNotDuplicateMachines(t *testing.T) {
	for _, c := range []struct {
		name     string
		recorded bool // the view shows the first group when the answer arrives
	}{
		{"recorded", true},
		{"not written yet", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader(t)
			l.provisioner.types.refresh(l.now)
			l.provisioner.scaleOuts.add(autoscaler.ScaleOut{
				Pool: autoscaler.Pool{MachineType: l.replica.View.MachineTypeIndex("small"), Zone: l.replica.View.ZoneNames.Index("z")}, Count: 2, Shard: 1,
			})
			l.provisioner.scaleOuts.send(l.now)
			l.provisioner.OnUnrecordedHeartbeat(&protocol.AgentHeartbeat{Machine: "m-000001", MachineType: "small", Zone: "z"})
			l.provisioner.adoptions.write()
			if c.recorded {
				l.applyTransactions()
			}
			l.now += 6 * time.Second
			l.cloud.onCreated[0]([]string{"m-000001", "m-000002"}, nil)
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
				t.Errorf("adopted machine in shard %d, created machine in shard %d", found.Shard, created.Shard)
			}
		})
	}
}
