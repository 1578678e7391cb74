package provisioning

import (
	"cmp"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Provisioner manages the life cycle of all machines on the leader. It must be used on the
// controller's goroutine.
type Provisioner struct {
	Config
	types     machineTypes
	list      *cloudList
	adoptions *adoptions
	scaleOuts *scaleOuts
	writer    *groupWriter
	moves     *moves
	deletions *deletions
	claims    *claims
	target    targetWriter
	history   history
	cycle     *cycle

	partitionedZones map[int]bool // by zone index: most of the zone's machines are silent
}

// New returns a Provisioner for a newly elected leader.
func New(c Config) *Provisioner {
	provisioner := &Provisioner{Config: c, cycle: newCycle(&c.Options), partitionedZones: map[int]bool{}}
	shared := &provisioner.Config
	provisioner.types.Config = shared
	provisioner.target.Config = shared
	provisioner.history.Config = shared
	provisioner.adoptions = newAdoptions(shared)
	provisioner.list = newCloudList(shared, provisioner.adoptions)
	provisioner.scaleOuts = newScaleOuts(shared, provisioner.adoptions, provisioner.cycle.runOnNextTick)
	provisioner.writer = newGroupWriter(shared, provisioner.urgency)
	provisioner.moves = newMoves(shared, provisioner.writer)
	provisioner.deletions = newDeletions(shared, provisioner.writer)
	provisioner.claims = newClaims(shared, provisioner.writer)
	return provisioner
}

// Tick performs all work that is due. Until the machine types are known, Tick only reads and
// records the machine types.
func (p *Provisioner) Tick() {
	now := p.now()
	p.types.refresh(now)
	if !p.types.known() {
		return
	}
	p.writer.reset()
	p.list.refresh(now)
	p.adoptions.write()
	p.moves.reset()
	p.advanceMachines()
	p.moves.write()
	p.scaleOuts.send(now)
	p.deletions.advance(now)
	p.runCycleWhenDue(now)
	p.writer.flush(now)
}

// OnUnrecordedHeartbeat adopts a machine whose agent sent a heartbeat although no record
// names the machine.
func (p *Provisioner) OnUnrecordedHeartbeat(h *protocol.AgentHeartbeat) {
	p.adoptions.adopt(h.Machine, unrecordedMachine{h.Address, h.MachineType, h.Zone, h.Spot, p.wallMS()})
}

// History returns the most recent decisions on the fleet size, latest first.
func (p *Provisioner) History() []Decision { return p.history.latestFirst() }

// OversizedGroups counts the machine groups whose records exceed the current value limit.
// Their next write splits them.
func (p *Provisioner) OversizedGroups() int {
	count := 0
	for _, group := range p.view().MachineGroups {
		if !p.Committer.Fits(group.MachineGroupRecord) {
			count++
		}
	}
	return count
}

// fleet returns the autoscaler's input: the current jobs, machines and options.
func (p *Provisioner) fleet() *autoscaler.Fleet {
	return &autoscaler.Fleet{
		View:               p.view(),
		Now:                p.Generation.Wall(),
		MachineStatus:      p.Members.MachineStatus,
		HeartbeatInterval:  p.Cluster.Agents.HeartbeatInterval(),
		HeartbeatTolerance: p.Members.HeartbeatTolerance(),
		PartitionedZones:   p.partitionedZones,
		Objectives:         p.Cluster.Objectives,
		BootTimeoutFactor:  p.Options.BootTimeoutFactor,
		SpareReplicas:      p.Options.SpareReplicas,
	}
}

// advanceMachines advances all machines in their life cycle. Empty drained machines are
// decommissioned or move to a job shard with unmet demand, lost machines are decommissioned,
// and faulty machines drain.
func (p *Provisioner) advanceMachines() {
	counts := p.countMachines()
	p.partitionedZones = counts.partitionedZones()
	p.removeEmptyGroups()
	losses := &lossDetector{Config: &p.Config, list: p.list, fleet: p.fleet(), counts: counts, workBlocked: p.cycle.blocked.Holds()}
	addresses := addressRecorder{writer: p.writer, list: p.list}
	p.view().Machines.All(func(_ int, m *storage.Machine) {
		p.advance(m, losses, &addresses)
	})
}

// removeEmptyGroups schedules the removal of empty groups of earlier terms.
func (p *Provisioner) removeEmptyGroups() {
	for id, group := range p.view().MachineGroups {
		if p.writer.removable(&group.MachineGroupRecord) {
			p.writer.requestWrite(id)
		}
	}
}

// advance advances one machine in its life cycle.
func (p *Provisioner) advance(machine *storage.Machine, losses *lossDetector, addresses *addressRecorder) {
	switch machine.Phase {
	case storage.PhaseDeleted:
		p.Members.RemoveMachineStatus(machine.Name)
		if p.list.expiredRecords[machine.Name] {
			p.writer.add(machineChange{machine: machine, remove: true})
		}
		return
	case storage.PhaseDecommissioning:
		return
	}
	if !machine.Exists() {
		return
	}
	status, known := p.Members.MachineStatus(machine)
	if p.advanceDrained(machine, status) {
		return
	}
	if reason := losses.reason(machine, status, known); reason != "" {
		p.writer.setPhase(machine, storage.PhaseDecommissioning, reason)
		return
	}
	if known && losses.retainedDuringPartition(machine, status) {
		return
	}
	if known && status.Faulty && machine.Phase == storage.PhaseActive {
		p.writer.setPhase(machine, storage.PhaseDraining, "faulty")
		return
	}
	addresses.record(machine, status)
}

// advanceDrained handles a drained machine that its holder has confirmed to be empty: the
// machine moves to a job shard with unmet demand that it suits, or is decommissioned. A faulty
// machine or one that the cloud will terminate is always decommissioned.
func (p *Provisioner) advanceDrained(m *storage.Machine, status protocol.MachineStatus) bool {
	if m.Phase != storage.PhaseDraining || status.Empty == 0 || status.Empty != m.DrainStamp {
		return false
	}
	if shard := p.assignShardFor(m); shard >= 0 && !status.Faulty && !status.Leaves {
		p.moves.add(m, shard)
		return true
	}
	p.writer.add(machineChange{machine: m, phase: storage.PhaseDecommissioning, reason: "empty", holderConfirmedEmpty: true})
	return true
}

// assignShardFor returns the job shard to which a machine of another shard is to move, or -1:
// the shard that has claimed the machine, or else one with unmet demand that the machine suits.
// In the latter case the tasks that fit on the machine are subtracted from the unmet demand.
func (p *Provisioner) assignShardFor(m *storage.Machine) int {
	if shard, claimed := p.claims.byMachine[m.Name]; claimed {
		return shard
	}
	return p.cycle.unmet.AssignShardFor(m, p.view())
}

// urgency ranks a change by what waits for its write. The most urgent are changes that
// replicas wait for, either to start elsewhere or to start on the machine. Then come changes of
// claimed machines, changes that other tasks wait for, and changes that only affect cost.
func (p *Provisioner) urgency(change machineChange) int {
	const (
		urgencyCostOnly = iota
		urgencyTasks
		urgencyClaim
		urgencyReplicas
	)
	m := change.machine
	lost := change.phase == storage.PhaseDecommissioning || change.phase == storage.PhaseDeleted
	switch {
	case lost && hostsReplicas(m, p.view()), change.evict:
		return urgencyReplicas
	case p.claims.claimed(m):
		return urgencyClaim
	case lost && len(m.Intents) > 0, change.phase == storage.PhaseActive:
		return urgencyTasks
	}
	return urgencyCostOnly
}

// addressRecorder records the addresses of machines for their next holders. Nothing waits for
// these records, so at most one group per tick is written for an address alone, and no further
// address is recorded in that tick. Addresses recorded before it in the same tick are in groups
// that already have changes, and share the writes of these changes.
type addressRecorder struct {
	writer  *groupWriter
	list    *cloudList
	written bool // in this tick, a group is written for an address alone
}

// record adds a change with the machine's address if the record lacks it and the write budget
// is nearly unused.
func (r *addressRecorder) record(machine *storage.Machine, status protocol.MachineStatus) {
	const minBudgetShare = 0.9 // share of one second's writes that must be available
	budget := &r.writer.Committer.Budget
	if machine.Address != "" || r.written || budget.Level() <= budget.Rate()*minBudgetShare {
		return
	}
	address := cmp.Or(status.Addr, r.list.addresses[machine.Name])
	if address == "" {
		return
	}
	r.written = !r.writer.pending(machine) && len(r.writer.changes[machine.Group]) == 0
	r.writer.add(machineChange{machine: machine, address: address})
}
