package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// newBlock is a block that is not in the cache yet. It keeps its name until it
// is, so that a write without an answer can't put a machine into two blocks.
type pendingGroup struct {
	id            string
	record        storage.MachineGroupRecord
	writeInFlight bool
	retryAt       time.Duration
}

// change is what a machine's entry is to become.
type machineChange struct {
	machine         *storage.Machine
	phase           storage.MachinePhase
	reason          string
	drainStamp      uint64 // of a drain that goes on; one that begins gets its own when it is written
	evict           bool   // of a drain: its tasks are stopped
	address         string
	forget          bool // the entry goes
	holderSaysEmpty bool // rests on the holder's word that nothing is on the machine
}

// moveKey names machines of a block that go to the same home.
type groupMove struct {
	group   string
	toShard int
}

// blockSize is how many machines with such names a new block takes.
func (f *provisioner) groupSize(name string) int {
	return machinesPerGroup(f.leadership.controller.committer.Limits().ValueBytes, name)
}

// block makes a block of machines to be recorded.
func (f *provisioner) addPendingGroup(rec storage.MachineGroupRecord) {
	rec.FencingToken = f.leadership.NextFencingToken()
	f.pendingGroups = append(f.pendingGroups, &pendingGroup{id: groupID(rec.FencingToken), record: rec})
	for _, e := range rec.Machines {
		f.pendingMachines[e.Name] = true
	}
}

// records writes the blocks of machines that were rented or found.
func (f *provisioner) writePendingGroups() {
	n := f.leadership.controller
	now := n.now()
	// Machines that nobody asked for go to the home of the work that ends.
	var last unrecordedMachine
	rec := storage.MachineGroupRecord{}
	for _, name := range slices.Sorted(maps.Keys(f.unrecordedMachines)) {
		s := f.unrecordedMachines[name]
		if _, m := n.view.Machines.Find(name); m != nil && m.Group != "" || f.pendingMachines[name] {
			continue
		}
		if len(rec.Machines) > 0 && (s.machineType != last.machineType || s.zone != last.zone || s.spot != last.spot || len(rec.Machines) >= f.groupSize(name)) {
			f.addPendingGroup(rec)
			rec.Machines = nil
		}
		rec.Type, rec.Zone, rec.Spot, rec.RentedAtMS = s.machineType, s.zone, s.spot, s.rentedAtMS
		rec.Machines = append(rec.Machines, storage.MachineEntry{Name: name, Address: s.address})
		last = s
	}
	if len(rec.Machines) > 0 {
		f.addPendingGroup(rec)
	}
	clear(f.unrecordedMachines)
	f.pendingGroups = slices.DeleteFunc(f.pendingGroups, func(b *pendingGroup) bool {
		if n.view.MachineGroups[b.id] == nil {
			return false
		}
		for _, e := range b.record.Machines {
			delete(f.pendingMachines, e.Name)
		}
		return true
	})
	for _, b := range f.pendingGroups {
		if b.writeInFlight || now < b.retryAt || !n.committer.Budget.Take(now, 1) {
			continue
		}
		b.writeInFlight = true
		key := storage.MachineGroupKey(b.id)
		n.committer.Commit(protocol.Transaction{
			Conditions: []protocol.Condition{f.leadership.Condition(), {Key: key}},
			Operations: []protocol.Operation{{Put: key, Value: storage.Encode(b.record)}},
		}, func(_ uint64, err error) {
			b.writeInFlight = false
			b.retryAt = n.now() + kv.RetryPause
			if err == nil {
				b.retryAt = n.now() + time.Second // it comes with the changes
			}
		})
	}
}

// phase moves a machine on. A return is recorded first and never undone.
func (f *provisioner) setPhase(m *storage.Machine, phase storage.MachinePhase, why string) {
	f.addChange(machineChange{machine: m, phase: phase, reason: why})
}

func (f *provisioner) addChange(c machineChange) {
	if c.machine.Group != "" && !slices.ContainsFunc(f.changes[c.machine.Group], func(o machineChange) bool { return o.machine == c.machine }) {
		f.changes[c.machine.Group] = append(f.changes[c.machine.Group], c)
	}
}

// pending reports whether a machine's entry is being changed already.
func (f *provisioner) changePending(m *storage.Machine) bool {
	return f.groupWritesInFlight[m.Group] || f.leadership.controller.replica.Revision() < f.groupWrittenRevision[m.Group] ||
		slices.ContainsFunc(f.changes[m.Group], func(o machineChange) bool { return o.machine == m })
}

// flush writes the changes worked out in this tick, several blocks to a
// transaction. What can't be written now is worked out again in the next tick.
func (f *provisioner) flushChanges(now time.Duration) {
	n := f.leadership.controller
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(f.changes)) {
		if !f.groupWritesInFlight[id] && n.replica.Revision() >= f.groupWrittenRevision[id] && n.view.MachineGroups[id] != nil {
			ids = append(ids, id)
		}
	}
	// Where many machines are lost at once there are far more changes than writes,
	// and what replicas wait for must not queue behind the tidying up.
	urgency := map[string]int{}
	for _, id := range ids {
		for _, c := range f.changes[id] {
			urgency[id] = max(urgency[id], f.changeUrgency(c))
		}
	}
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(urgency[b], urgency[a]) })
	batch := f.newGroupBatch()
	for _, id := range ids {
		w, ok := f.writeGroup(id, f.applyChanges(n.view.MachineGroups[id], f.changes[id]))
		if !ok {
			continue
		}
		if !n.committer.Budget.Take(now, len(w.operations)) {
			break
		}
		if !batch.hasRoomFor(w) {
			batch.send()
			batch = f.newGroupBatch()
		}
		batch.add(id, w)
	}
	batch.send()
}

// urgency is how much depends on a change being written soon: replicas that can't
// start elsewhere or wait for the machine, then other tasks, then only money.
func (f *provisioner) changeUrgency(c machineChange) int {
	_, claimed := f.claims[c.machine.Name]
	lost := c.phase == storage.PhaseDecommissioning || c.phase == storage.PhaseDeleted
	switch {
	case lost && f.leadership.hostsReplicas(c.machine), c.evict:
		return 3
	case claimed:
		return 2
	case lost && len(c.machine.Intents) > 0, c.phase == storage.PhaseActive:
		return 1
	}
	return 0
}

// blockOp writes a block, or removes it once it is empty. The transaction that
// made it may have been sent twice, and a late copy of it demands only that the
// key does not exist and that its leader still leads: a block that was removed
// under the same term could come back with machines that are elsewhere by now.
// So an empty one is kept until a later term.
func (l *leadership) groupOperation(id string, rec storage.MachineGroupRecord) protocol.Operation {
	if len(rec.Machines) == 0 && election.TermOfToken(rec.FencingToken) < l.Term() {
		return protocol.Operation{Delete: storage.MachineGroupKey(id)}
	}
	return protocol.Operation{Put: storage.MachineGroupKey(id), Value: storage.Encode(rec)}
}

func (f *provisioner) grantCond(shard int) protocol.Condition {
	return protocol.Condition{Key: storage.GrantKey(shard), Version: f.leadership.controller.view.Grants[shard].Version}
}

// txn carries out a transaction that writes blocks.
func (f *provisioner) commitGroups(blocks []string, t protocol.Transaction) {
	n := f.leadership.controller
	for _, id := range blocks {
		f.groupWritesInFlight[id] = true
	}
	n.committer.Commit(t, func(revision uint64, err error) {
		for _, id := range blocks {
			delete(f.groupWritesInFlight, id)
			if err == nil {
				f.groupWrittenRevision[id] = revision
			}
		}
		if err != nil {
			n.Log.Debug("blocks not written", "err", err)
		}
	})
}

// logChanges says what becomes of the machines of a block.
func (f *provisioner) logChanges(b *storage.MachineGroup, changes []machineChange) {
	for _, e := range b.Machines {
		i := slices.IndexFunc(changes, func(c machineChange) bool { return c.machine.Name == e.Name })
		if i < 0 {
			continue
		}
		if c := &changes[i]; c.phase != "" {
			f.leadership.controller.Log.Info("machine", "name", e.Name, "type", b.Type, "zone", b.Zone, "spot", b.Spot, "phase", c.phase, "why", c.reason, "term", f.leadership.Term())
		}
	}
}

// changed is a block with changes carried out.
func (f *provisioner) applyChanges(b *storage.MachineGroup, changes []machineChange) storage.MachineGroupRecord {
	n := f.leadership.controller
	rec := b.MachineGroupRecord
	rec.Machines = nil
	for _, e := range b.Machines {
		i := slices.IndexFunc(changes, func(c machineChange) bool { return c.machine.Name == e.Name })
		if i < 0 {
			rec.Machines = append(rec.Machines, e)
			continue
		}
		c := &changes[i]
		if c.forget {
			continue
		}
		if c.address != "" {
			e.Address = c.address
		}
		if c.phase != "" {
			e.Phase, e.DrainStamp, e.Evict = c.phase, c.drainStamp, c.evict
			if c.phase == storage.PhaseDraining && c.drainStamp == 0 {
				e.DrainStamp = f.leadership.NextFencingToken()
			}
			if c.phase == storage.PhaseActive {
				e.Phase = ""
			}
			if c.phase == storage.PhaseDeleted {
				e.DeletedAtMS = n.Clock.Wall().UnixMilli()
				e.Address = ""
			}
		}
		rec.Machines = append(rec.Machines, e)
	}
	return rec
}

// handOver gives empty drained machines to other homes: they leave their block for
// a new one under a token above any that they have seen. All of a block that go
// to one home go in one transaction, with what else is to change in the block.
func (f *provisioner) moveMachines() {
	n := f.leadership.controller
	for _, k := range slices.SortedFunc(maps.Keys(f.moves), func(a, b groupMove) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.toShard, b.toShard))
	}) {
		b := n.view.MachineGroups[k.group]
		if b == nil || f.groupWritesInFlight[k.group] || n.replica.Revision() < f.groupWrittenRevision[k.group] || !n.committer.Budget.Take(n.now(), 2) {
			continue
		}
		to := storage.MachineGroupRecord{Type: b.Type, Zone: b.Zone, Spot: b.Spot, Shard: k.toShard, FencingToken: f.leadership.NextFencingToken(), RentedAtMS: b.RentedAtMS}
		changes := f.changes[k.group]
		moves := f.moves[k]
		for _, m := range moves[:min(len(moves), f.groupSize(moves[0].Name))] { // the others with the next tick
			to.Machines = append(to.Machines, storage.MachineEntry{Name: m.Name, Address: m.Address})
			changes = append(changes, machineChange{machine: m, forget: true})
		}
		from, ok := f.writeGroup(k.group, f.applyChanges(b, changes))
		delete(f.changes, k.group)
		if !ok {
			continue
		}
		if len(from.operations) >= n.committer.Limits().Operations { // so large that it must be split before anything leaves it
			if from, ok = f.writeGroup(k.group, b.MachineGroupRecord); ok {
				f.commitGroups([]string{k.group}, protocol.Transaction{Conditions: append(from.conditions, f.leadership.Condition()), Operations: from.operations})
			}
			continue
		}
		f.logChanges(b, changes)
		key := storage.MachineGroupKey(groupID(to.FencingToken))
		t := protocol.Transaction{
			Conditions: append([]protocol.Condition{f.leadership.Condition(), {Key: key}, f.grantCond(b.Shard)}, from.conditions...),
			Operations: append([]protocol.Operation{{Put: key, Value: storage.Encode(to)}}, from.operations...),
		}
		n.Log.Info("machines move", "count", len(to.Machines), "from", b.Shard, "to", k.toShard, "term", f.leadership.Term())
		f.commitGroups([]string{k.group}, t)
	}
}
