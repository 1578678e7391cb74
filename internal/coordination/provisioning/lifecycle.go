package provisioning

import (
	"fmt"
	"slices"

	"rockrun/internal/storage"
)

// transitions is the life cycle of a machine: the phases that may follow each phase.
//
//   - An active machine accepts new tasks. It drains when it is idle, faulty, claimed by
//     another job shard, or when its services fit on other machines. It is decommissioned at
//     once when it is lost.
//   - A draining machine becomes active again when it is needed after all, keeps draining with
//     its tasks evicted when pending replicas need it, and is decommissioned once it is empty
//     or lost. An empty machine may instead move to another job shard, where it is active.
//   - A decommissioning machine is being deleted at the cloud. This is irreversible.
//   - A deleted machine stays deleted. Its record is removed once no list of the cloud can
//     contain the machine.
var transitions = map[storage.MachinePhase][]storage.MachinePhase{
	storage.PhaseActive:          {storage.PhaseDraining, storage.PhaseDecommissioning},
	storage.PhaseDraining:        {storage.PhaseActive, storage.PhaseDraining, storage.PhaseDecommissioning},
	storage.PhaseDecommissioning: {storage.PhaseDeleted},
	storage.PhaseDeleted:         {},
}

// TransitionError reports a change of a machine's phase that its life cycle does not allow.
type TransitionError struct {
	Machine  string
	From, To storage.MachinePhase
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("machine %s: transition from phase %s to %s is not allowed", e.Machine, e.From, e.To)
}

// checkTransition returns a *TransitionError unless a machine may enter a phase from its
// current one.
func checkTransition(m *storage.Machine, to storage.MachinePhase) error {
	if slices.Contains(transitions[m.Phase], to) {
		return nil
	}
	return &TransitionError{Machine: m.Name, From: m.Phase, To: to}
}
