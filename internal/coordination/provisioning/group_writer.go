package provisioning

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// machineChange is what a machine's entry is to become.
type machineChange struct {
	machine    *storage.Machine
	phase      storage.MachinePhase // "": the phase stays
	reason     string
	drainStamp uint64 // of a drain that goes on; one that begins gets its own when it is written
	evict      bool   // of a drain: its tasks are stopped
	address    string
	forget     bool // the entry goes
	// holderSaysEmpty: the change rests on the holder's word that nothing is on the machine.
	holderSaysEmpty bool
}

// groupWriter writes the changes of machine groups. They are worked out anew with every
// tick; what can't be written now is worked out again in the next.
type groupWriter struct {
	*Config
	changes map[string][]machineChange // by group
	writes  map[string]*loop.Write     // by group
	urgency func(machineChange) int
}

func newGroupWriter(c *Config, urgency func(machineChange) int) *groupWriter {
	return &groupWriter{Config: c, changes: map[string][]machineChange{}, writes: map[string]*loop.Write{}, urgency: urgency}
}

// begin forgets the changes of the tick before.
func (w *groupWriter) begin() { clear(w.changes) }

// setPhase moves a machine on to another phase.
func (w *groupWriter) setPhase(m *storage.Machine, phase storage.MachinePhase, reason string) {
	w.add(machineChange{machine: m, phase: phase, reason: reason})
}

// add takes up a change, unless the machine is in no group or is being changed already.
func (w *groupWriter) add(change machineChange) {
	machine := change.machine
	if machine.Group == "" || w.hasChange(machine) {
		return
	}
	if change.phase != "" {
		if err := checkTransition(machine, change.phase); err != nil {
			w.Log.Error("machine not changed", "machine", machine.Name, "reason", change.reason, "err", err)
			return
		}
	}
	w.changes[machine.Group] = append(w.changes[machine.Group], change)
}

// touch has a group written even where none of its machines changes: an empty one can go.
func (w *groupWriter) touch(group string) { w.changes[group] = nil }

// hasChange reports whether a change of a machine's entry was worked out in this tick.
func (w *groupWriter) hasChange(m *storage.Machine) bool {
	return slices.ContainsFunc(w.changes[m.Group], func(c machineChange) bool { return c.machine == m })
}

// pending reports whether a machine's entry is being changed already.
func (w *groupWriter) pending(m *storage.Machine) bool { return !w.ready(m.Group) || w.hasChange(m) }

// ready reports whether a group may be written: its last write must be in the view.
func (w *groupWriter) ready(group string) bool {
	write := w.writes[group]
	return write == nil || write.Ready(w.now(), w.Replica.Revision())
}

// flush writes the changes of this tick, several groups to a transaction.
func (w *groupWriter) flush(now time.Duration) {
	batch := newGroupBatch(w)
	for _, id := range w.writableGroups() {
		write, ok := w.prepare(id, w.apply(w.view().MachineGroups[id], w.changes[id]))
		if !ok {
			continue
		}
		if !w.Committer.Budget.Take(now, len(write.operations)) {
			break
		}
		if !batch.hasRoomFor(write) {
			batch.send()
			batch = newGroupBatch(w)
		}
		batch.add(id, write)
	}
	batch.send()
}

// writableGroups lists the groups with changes that may be written, the most urgent first.
// Where many machines are lost at once there are far more changes than writes, and what
// replicas wait for must not queue behind the tidying up.
func (w *groupWriter) writableGroups() []string {
	var ids []string
	urgency := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(w.changes)) {
		if !w.ready(id) || w.view().MachineGroups[id] == nil {
			continue
		}
		ids = append(ids, id)
		for _, change := range w.changes[id] {
			urgency[id] = max(urgency[id], w.urgency(change))
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(urgency[b], urgency[a]) })
	return ids
}

// commit carries out a transaction that writes groups.
func (w *groupWriter) commit(groups []string, t protocol.Transaction) {
	for _, id := range groups {
		if w.writes[id] == nil {
			w.writes[id] = &loop.Write{}
		}
		w.writes[id].Begin()
	}
	w.Committer.Commit(t, func(revision uint64, err error) {
		for _, id := range groups {
			if err != nil {
				w.writes[id].Finish()
			} else {
				w.writes[id].Written(revision)
			}
		}
		if err != nil {
			w.Log.Debug("machine groups not written", "err", err)
		}
	})
}

// apply is a group with changes carried out.
func (w *groupWriter) apply(group *storage.MachineGroup, changes []machineChange) storage.MachineGroupRecord {
	record := group.MachineGroupRecord
	record.Machines = nil
	for _, entry := range group.Machines {
		change := changeOf(changes, entry.Name)
		switch {
		case change == nil:
			record.Machines = append(record.Machines, entry)
		case !change.forget:
			record.Machines = append(record.Machines, w.changedEntry(entry, change))
		}
	}
	return record
}

// changeOf returns the change of a machine, or nil.
func changeOf(changes []machineChange, name string) *machineChange {
	i := slices.IndexFunc(changes, func(c machineChange) bool { return c.machine.Name == name })
	if i < 0 {
		return nil
	}
	return &changes[i]
}

// changedEntry is a machine's entry with a change carried out.
func (w *groupWriter) changedEntry(entry storage.MachineEntry, change *machineChange) storage.MachineEntry {
	if change.address != "" {
		entry.Address = change.address
	}
	if change.phase == "" {
		return entry
	}
	entry.Phase, entry.DrainStamp, entry.Evict = change.phase, change.drainStamp, change.evict
	switch change.phase {
	case storage.PhaseActive:
		entry.Phase = ""
	case storage.PhaseDraining:
		if change.drainStamp == 0 {
			entry.DrainStamp = w.Leadership.NextFencingToken()
		}
	case storage.PhaseDeleted:
		entry.DeletedAtMS = w.wallMS()
		entry.Address = ""
	}
	return entry
}

// logChanges says what becomes of the machines of a group.
func (w *groupWriter) logChanges(group *storage.MachineGroup, changes []machineChange) {
	for _, entry := range group.Machines {
		if change := changeOf(changes, entry.Name); change != nil && change.phase != "" {
			w.Log.Info("machine phase changed", "machine", entry.Name, "type", group.Type, "zone", group.Zone, "spot", group.Spot,
				"phase", change.phase, "reason", change.reason, "term", w.Leadership.Term())
		}
	}
}
