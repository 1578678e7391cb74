package provisioning

import (
	"fmt"
	"slices"

	"rockrun/internal/storage"
)

// transitions is the life cycle of a machine: from each phase, those that may follow.
//
//   - An active machine takes tasks. It drains when it is idle, faulty or claimed by another
//     job shard, and is decommissioned at once when it is lost.
//   - A draining machine becomes active again when it is needed after all, goes on draining
//     with its tasks evicted when replicas wait for it, and is decommissioned once empty or
//     lost. An empty one may also move to another job shard, where it is active anew.
//   - A decommissioning machine is being deleted at the cloud; that is never undone.
//   - A deleted machine stays so. Its record goes once no list of the cloud can name it.
var transitions = map[storage.MachinePhase][]storage.MachinePhase{
	storage.PhaseActive:          {storage.PhaseDraining, storage.PhaseDecommissioning},
	storage.PhaseDraining:        {storage.PhaseActive, storage.PhaseDraining, storage.PhaseDecommissioning},
	storage.PhaseDecommissioning: {storage.PhaseDeleted},
	storage.PhaseDeleted:         {},
}

// TransitionError is a change of a machine's phase that its life cycle does not know.
type TransitionError struct {
	Machine  string
	From, To storage.MachinePhase
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("machine %s: no transition from phase %s to %s", e.Machine, e.From, e.To)
}

// checkTransition returns a *TransitionError unless a machine's phase may change so.
func checkTransition(m *storage.Machine, to storage.MachinePhase) error {
	if slices.Contains(transitions[m.Phase], to) {
		return nil
	}
	return &TransitionError{Machine: m.Name, From: m.Phase, To: to}
}
