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

// machineChange is a change of a machine's entry in its group.
type machineChange struct {
	machine    *storage.Machine
	phase      storage.MachinePhase // "": unchanged
	reason     string
	drainStamp uint64 // of a drain that continues; 0: a new drain, whose stamp is issued with the write
	evict      bool   // of a drain: the machine's tasks are stopped
	address    string
	remove     bool // the entry is removed
	// holderConfirmedEmpty: the change relies on the holder's confirmation that the machine
	// has no tasks.
	holderConfirmedEmpty bool
}

// groupWriter writes the changes of machine groups. The changes are computed in every tick;
// those that cannot be written in one tick are computed again in the next.
type groupWriter struct {
	*Config
	changes map[string][]machineChange // by group
	writes  map[string]*loop.Write     // by group
	urgency func(machineChange) int
}

func newGroupWriter(c *Config, urgency func(machineChange) int) *groupWriter {
	return &groupWriter{Config: c, changes: map[string][]machineChange{}, writes: map[string]*loop.Write{}, urgency: urgency}
}

// reset discards the changes of the previous tick.
func (w *groupWriter) reset() { clear(w.changes) }

// setPhase adds a change of a machine's phase.
func (w *groupWriter) setPhase(m *storage.Machine, phase storage.MachinePhase, reason string) {
	w.add(machineChange{machine: m, phase: phase, reason: reason})
}

// add adds a change to this tick's changes. It ignores machines without a group and machines
// that already have a change in this tick, and rejects illegal phase transitions.
func (w *groupWriter) add(change machineChange) {
	machine := change.machine
	if machine.Group == "" || w.hasChange(machine) {
		return
	}
	if change.phase != "" {
		if err := checkTransition(machine, change.phase); err != nil {
			w.Log.Error("machine phase change rejected", "machine", machine.Name, "reason", change.reason, "err", err)
			return
		}
	}
	w.changes[machine.Group] = append(w.changes[machine.Group], change)
}

// requestWrite schedules the write of a group without any machine change, by which an empty
// group is removed.
func (w *groupWriter) requestWrite(group string) { w.changes[group] = nil }

// hasChange reports whether this tick's changes include one of the machine's entry.
func (w *groupWriter) hasChange(m *storage.Machine) bool {
	return slices.ContainsFunc(w.changes[m.Group], func(c machineChange) bool { return c.machine == m })
}

// pending reports whether a machine has a change in this tick, or its group's last write is
// not in the view yet.
func (w *groupWriter) pending(m *storage.Machine) bool { return !w.ready(m.Group) || w.hasChange(m) }

// ready reports whether a group may be written. Its last write must be in the view.
func (w *groupWriter) ready(group string) bool {
	write := w.writes[group]
	return write == nil || write.Ready(w.now(), w.Replica.Revision())
}

// flush writes the changes of this tick, with several groups in a transaction, as far as the
// write budget allows.
func (w *groupWriter) flush(now time.Duration) {
	batch := newGroupBatch(w)
	for _, id := range w.writableGroups() {
		write, ok := w.prepareWrite(id, w.apply(w.view().MachineGroups[id], w.changes[id]))
		if !ok {
			continue
		}
		if !w.Committer.Budget.TryConsume(now, len(write.operations)) {
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

// writableGroups lists the groups with changes that may be written now, the most urgent
// first. When many machines are lost at once, the changes far exceed the write budget, and
// changes that replicas wait for must not queue behind mere cleanup.
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

// commit commits a transaction that writes the given groups, and tracks the write of each.
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
			w.Log.Debug("machine group write failed", "err", err)
		}
	})
}

// apply returns a group's record with changes applied.
func (w *groupWriter) apply(group *storage.MachineGroup, changes []machineChange) storage.MachineGroupRecord {
	record := group.MachineGroupRecord
	record.Machines = nil
	for _, entry := range group.Machines {
		change := findChange(changes, entry.Name)
		switch {
		case change == nil:
			record.Machines = append(record.Machines, entry)
		case !change.remove:
			record.Machines = append(record.Machines, w.changedEntry(entry, change))
		}
	}
	return record
}

// findChange returns the change of the named machine, or nil.
func findChange(changes []machineChange, name string) *machineChange {
	i := slices.IndexFunc(changes, func(c machineChange) bool { return c.machine.Name == name })
	if i < 0 {
		return nil
	}
	return &changes[i]
}

// changedEntry returns a machine's entry with a change applied.
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

// logChanges logs the phase changes of a group's machines when their write is prepared.
func (w *groupWriter) logChanges(group *storage.MachineGroup, changes []machineChange) {
	for _, entry := range group.Machines {
		if change := findChange(changes, entry.Name); change != nil && change.phase != "" {
			w.Log.Info("machine phase changed", "machine", entry.Name, "type", group.Type, "zone", group.Zone, "spot", group.Spot,
				"phase", change.phase, "reason", change.reason, "term", w.Leadership.Term())
		}
	}
}
