package coordination

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// fleet carries out the sizer's decisions: it is the only part of the service
// that talks to the cloud, and only a leader has one.
type provisioner struct {
	leadership *leadership
	cycleWindows

	catalogue          protocol.MachineTypeCatalogue
	hasMachineTypes    bool
	typesCallInFlight  bool
	nextTypesCallAt    time.Duration
	typesWriteInFlight bool

	listInFlight     bool
	nextListAt       time.Duration
	failed           map[string]bool   // machines that the last list calls failed
	unlisted         map[string]bool   // machines that it should have named and did not
	partitionedZones map[int]bool      // zones most of whose machines are silent
	addresses        map[string]string // addresses that the records don't have yet
	forgettable      map[string]bool   // machines that are gone and that no list can name any more

	scaleOutCalls []*scaleOutCall
	scaleOutCount int
	refusals      map[machinePool]poolRefusal

	unrecordedMachines   map[string]unrecordedMachine     // machines found, not in a block yet
	pendingGroups        []*pendingGroup                  // blocks whose record is to be made
	pendingMachines      map[string]bool                  // machines of those
	groupWritesInFlight  map[string]bool                  // blocks
	groupWrittenRevision map[string]uint64                // revision that must be in the cache before a block's next write
	changes              map[string][]machineChange       // by block, worked out anew every tick
	unmetDemand          []demand                         // what the last cycle found no room for
	claims               map[string]int                   // machines that drain for the work of another home
	moves                map[groupMove][]*storage.Machine // empty ones that go to another home now

	deleteInFlight bool
	deletedAt      map[string]time.Duration // by the cloud, not yet in the records, and since when
	nextDeleteAt   time.Duration

	nextCycleAt  time.Duration
	blockedSince time.Duration
	idleSince    holdWindows
	movableSince holdWindows
	drainSince   holdWindows
	history      []Decision

	targetWriteInFlight bool
	nextTargetWriteAt   time.Duration
}

// ask is a rental request whose answer is not known. It keeps its name until it
// has been answered, and no name is ever used for another.
type scaleOutCall struct {
	protocol.CreateMachinesRequest
	shard    int
	inFlight bool
	retryAt  time.Duration
}

type poolRefusal struct {
	until time.Duration
	pause time.Duration
}

// orphan is a machine that was found and not asked for.
type unrecordedMachine struct {
	address, machineType, zone string
	spot                       bool
	rentedAtMS                 int64
}

func newProvisioner(l *leadership) *provisioner {
	return &provisioner{
		leadership: l, cycleWindows: cycleWindowsOf(l.controller.Options), refusals: map[machinePool]poolRefusal{},
		idleSince: holdWindows{}, movableSince: holdWindows{}, drainSince: holdWindows{},
		claims: map[string]int{}, moves: map[groupMove][]*storage.Machine{}, deletedAt: map[string]time.Duration{}, partitionedZones: map[int]bool{}, unlisted: map[string]bool{}, addresses: map[string]string{}, forgettable: map[string]bool{}, unrecordedMachines: map[string]unrecordedMachine{}, pendingMachines: map[string]bool{}, groupWritesInFlight: map[string]bool{}, groupWrittenRevision: map[string]uint64{}, changes: map[string][]machineChange{},
	}
}

// alive reports whether callbacks still speak to the leader in office.
func (f *provisioner) current() bool { return f.leadership.controller.leadership == f.leadership }

func (f *provisioner) tick() {
	now := f.leadership.controller.now()
	f.refreshMachineTypes(now)
	if !f.hasMachineTypes || f.leadership.controller.view.MachineTypesVersion == 0 {
		return
	}
	clear(f.changes)
	f.listMachines(now)
	f.writePendingGroups()
	clear(f.moves)
	f.advanceMachines(now)
	f.moveMachines()
	f.sendScaleOuts(now)
	f.deleteDecommissioned(now)
	if now >= f.nextCycleAt {
		f.nextCycleAt = now + f.cycleInterval
		f.runCycle(now)
	}
	f.flushChanges(now)
}

// types reads what the cloud rents, and keeps it for the other controllers.
func (f *provisioner) refreshMachineTypes(now time.Duration) {
	n := f.leadership.controller
	if !f.typesCallInFlight && now >= f.nextTypesCallAt {
		f.typesCallInFlight = true
		n.Cloud.MachineTypes(func(c protocol.MachineTypeCatalogue, err error) {
			f.typesCallInFlight = false
			f.nextTypesCallAt = n.now() + n.generation.Jitter(time.Second)
			if err != nil || len(c.Types) == 0 {
				n.Log.Debug("machine types not read", "err", err)
				return
			}
			f.nextTypesCallAt = n.now() + 30*time.Second
			f.catalogue, f.hasMachineTypes = c, true
		})
	}
	if !f.hasMachineTypes || f.typesWriteInFlight || f.machineTypesRecorded() {
		return
	}
	f.typesWriteInFlight = true
	n.committer.Budget.TakeAnyway(now, 1)
	n.committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{f.leadership.Condition(), {Key: storage.KeyMachineTypes, Version: n.view.MachineTypesVersion}},
		Operations: []protocol.Operation{{Put: storage.KeyMachineTypes, Value: storage.Encode(f.catalogue)}},
	}, func(uint64, error) {
		n.generation.Later(kv.RetryPause, func() { f.typesWriteInFlight = false })
	})
}

// sameTypes reports whether the durable types match but for small moves of
// spot prices.
func (f *provisioner) machineTypesRecorded() bool {
	b := f.leadership.controller.view
	if b.MachineTypesVersion == 0 {
		return false
	}
	for _, t := range f.catalogue.Types {
		i := b.MachineTypeNames.Lookup(t.Name)
		if i < 0 {
			return false
		}
		o := b.MachineTypes[i]
		if d := o.HourlySpotPrice - t.HourlySpotPrice; d > 0.1*o.HourlySpotPrice || d < -0.1*o.HourlySpotPrice {
			return false
		}
		o.HourlySpotPrice, o.HourlyPrice = t.HourlySpotPrice, t.HourlyPrice
		if !slices.Equal(o.Zones, t.Zones) || o.CPUs != t.CPUs || o.GPUs != t.GPUs || o.MemoryGB != t.MemoryGB || o.BootSeconds != t.BootSeconds {
			return false
		}
	}
	return true
}

// onOrphanReport takes up a machine that reported and that no record names.
func (f *provisioner) onUnrecordedHeartbeat(r *protocol.AgentHeartbeat) {
	if _, m := f.leadership.controller.view.Machines.Find(r.Machine); m == nil || m.Group == "" {
		f.adoptMachine(r.Machine, unrecordedMachine{r.Address, r.MachineType, r.Zone, r.Spot, f.leadership.controller.Clock.Wall().UnixMilli()})
	}
}

func (f *provisioner) adoptMachine(name string, s unrecordedMachine) {
	if !f.pendingMachines[name] {
		f.unrecordedMachines[name] = s
	}
}

// send sends rental requests and repeats those that had no answer.
func (f *provisioner) sendScaleOuts(now time.Duration) {
	n := f.leadership.controller
	for _, a := range f.scaleOutCalls {
		if a.inFlight || now < a.retryAt {
			continue
		}
		a.inFlight = true
		n.Cloud.CreateMachines(a.CreateMachinesRequest, func(names []string, err error) {
			a.inFlight = false
			p := machinePool{n.view.MachineTypeNames.Lookup(a.Type), n.view.ZoneNames.Lookup(a.Zone), a.Spot}
			switch {
			case err == nil:
				n.Log.Info("rented", "machines", len(names), "type", a.Type, "zone", a.Zone, "spot", a.Spot, "term", f.leadership.Term())
				rec := storage.MachineGroupRecord{Type: a.Type, Zone: a.Zone, Spot: a.Spot, Shard: a.shard, RentedAtMS: n.Clock.Wall().UnixMilli()}
				for part := range slices.Chunk(names, f.groupSize(names[0])) { // at least one was rented
					rec.Machines = nil
					for _, name := range part {
						rec.Machines = append(rec.Machines, storage.MachineEntry{Name: name})
					}
					f.addPendingGroup(rec)
				}
				if len(names) < a.Count {
					f.notePoolRefusal(p)
				} else {
					delete(f.refusals, p)
				}
				f.dropScaleOut(a)
				if f.current() {
					f.writePendingGroups()
				}
			case errors.Is(err, protocol.ErrNoCapacity):
				f.notePoolRefusal(p)
				f.dropScaleOut(a)
				f.nextCycleAt = 0 // the demand goes to the next pool at once
			case errors.Is(err, protocol.ErrOutcomeUnknown):
				a.retryAt = n.now() + n.generation.Jitter(500*time.Millisecond)
			default:
				n.Log.Debug("rental refused", "err", err)
				f.dropScaleOut(a)
			}
		})
	}
}

func (f *provisioner) dropScaleOut(a *scaleOutCall) {
	f.scaleOutCalls = slices.DeleteFunc(f.scaleOutCalls, func(b *scaleOutCall) bool { return a == b })
}

// refused tells which pools are not to be asked: those that were empty a moment
// ago, and those in a zone from which nothing is heard.
func (f *provisioner) poolUnavailable(now time.Duration) func(machinePool) bool {
	return func(p machinePool) bool { return f.partitionedZones[p.zone] || now < f.refusals[p].until }
}

// refuse remembers that a pool is empty, for longer each time.
func (f *provisioner) notePoolRefusal(p machinePool) {
	r := f.refusals[p]
	r.pause = min(max(2*r.pause, 5*time.Second), 20*time.Second)
	r.until = f.leadership.controller.now() + r.pause
	f.refusals[p] = r
}

// size is the sizer's cycle.
func (f *provisioner) runCycle(now time.Duration) {
	l := f.leadership
	n := l.controller
	list := l.supplies()
	share := bookedShare(list, n.view.MachineTypes)
	s := &scalingInput{
		types: n.view.MachineTypes, zoneIndex: n.view.ZoneNames.ID, fits: n.view.FitsMachineType,
		unavailable: f.poolUnavailable(now),
		demands:     l.demands(), supply: list, scaleOutPatience: n.Options.ScaleOutPatience, startSlackSeconds: l.startSlackSeconds,
	}
	blocked := 0
	for _, d := range s.demands {
		blocked += d.count
	}
	list = append(list, f.unrecordedSupply()...)
	s.supply = list
	s.soleTypes = l.soleMachineTypes()
	s.machinesByPool = map[machinePool]int{}
	for _, x := range list {
		s.machinesByPool[machinePool{x.machineType, x.zone, x.spot}]++
	}
	s.machinesAllowed = n.Options.FleetMax - len(list)
	s.callsAllowed = max(0, n.Options.ScaleOutCalls(n.Settings.Cluster.Cloud)-len(f.scaleOutCalls))
	left := s.unmetDemand()
	spares := l.spareDemands(list)
	for _, d := range spares {
		if d = s.subtractSupply(d); d.count > 0 {
			left = append(left, d)
		}
	}
	if heldFor(len(left) > 0, &f.blockedSince, now, f.scaleOutWindow) {
		for _, r := range s.planScaleOuts(left) {
			a := f.beginScaleOut(r)
			f.recordDecision(Decision{Action: "rent", Reason: "work is blocked", Blocked: blocked, Booked: share, Fleet: len(list), Count: r.count,
				Pool: fmt.Sprintf("%s/%s/spot=%t", a.Type, a.Zone, a.Spot)})
		}
		f.sendScaleOuts(now)
	}
	f.unmetDemand = left
	f.scaleIn(now, s, spares, share)
	f.writeScalingTarget(now, list)
}

// unrecorded lists rentals that are not in the records yet: they are supply as well.
func (f *provisioner) unrecordedSupply() (list []*machineSupply) {
	for _, a := range f.scaleOutCalls {
		for range a.Count {
			list = append(list, f.promisedSupply(a.Type, a.Zone, a.Spot, a.shard))
		}
	}
	for _, b := range f.pendingGroups {
		for range b.record.Machines {
			list = append(list, f.promisedSupply(b.record.Type, b.record.Zone, b.record.Spot, b.record.Shard))
		}
	}
	return list
}

// ask begins a rental under a name that is never used for another.
func (f *provisioner) beginScaleOut(r scaleOut) *scaleOutCall {
	n := f.leadership.controller
	f.scaleOutCount++
	a := &scaleOutCall{shard: r.shard, CreateMachinesRequest: protocol.CreateMachinesRequest{
		Request: fmt.Sprintf("r-%d-%d-%d", f.leadership.Term(), n.replica.Incarnation, f.scaleOutCount),
		Type:    n.view.MachineTypeNames.Name(r.machineType), Zone: n.view.ZoneNames.Name(r.zone), Spot: r.spot, Count: r.count,
	}}
	f.scaleOutCalls = append(f.scaleOutCalls, a)
	return a
}

// target stores the fleet's size with the term that set it and the machines
// that drain, so that the next leader carries on from there.
func (f *provisioner) writeScalingTarget(now time.Duration, list []*machineSupply) {
	n := f.leadership.controller
	rec := storage.ScalingTargetRecord{Term: f.leadership.Term()}
	for _, x := range list {
		switch {
		case x.machine != nil && x.machine.Phase == storage.PhaseDraining:
			if len(rec.Draining) < 50 { // a page of them is enough for whoever reads it
				rec.Draining = append(rec.Draining, x.machine.Name)
			}
		default:
			rec.Target++
		}
	}
	old := n.view.ScalingTarget
	same := old.Term == rec.Term && old.Target == rec.Target && slices.Equal(old.Draining, rec.Draining)
	if same || f.targetWriteInFlight || now < f.nextTargetWriteAt || !n.committer.Budget.Take(now, 1) {
		return
	}
	f.targetWriteInFlight = true
	n.committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{f.leadership.Condition(), {Key: storage.KeyScalingTarget, Version: n.view.ScalingTargetVersion}},
		Operations: []protocol.Operation{{Put: storage.KeyScalingTarget, Value: storage.Encode(rec)}},
	}, func(uint64, error) {
		f.targetWriteInFlight = false
		f.nextTargetWriteAt = n.now() + 5*time.Second
	})
}

// promised is a machine that was asked for or rented and has no record yet.
func (f *provisioner) promisedSupply(typ, zone string, spot bool, shard int) *machineSupply {
	n := f.leadership.controller
	i := n.view.MachineTypeID(typ)
	return newMachineSupply(&n.view.MachineTypes[i], machinePool{i, n.view.ZoneNames.ID(zone), spot}, shard)
}

const maxHistory = 200

func (f *provisioner) recordDecision(d Decision) {
	d.Term, d.AtMS = f.leadership.Term(), f.leadership.controller.Clock.Wall().UnixMilli()
	f.leadership.controller.Log.Info("sizer", "action", d.Action, "reason", d.Reason, "pool", d.Pool, "count", d.Count,
		"blocked", d.Blocked, "booked", d.Booked, "fleet", d.Fleet, "term", d.Term)
	f.history = append(f.history, d)
	if over := len(f.history) - maxHistory; over > 0 {
		f.history = slices.Delete(f.history, 0, over)
	}
}

// Status is what an operator sees of the sizer.
type Status struct {
	Node    string `json:"node"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Leading bool   `json:"leading"`
	Ready   bool   `json:"ready"`
	Fleet   int    `json:"fleet"`
	Jobs    int    `json:"jobs"`
	Blocked int    `json:"blocked_tasks"`
	Waiting int    `json:"waiting_jobs"`
	Target  int    `json:"target"`
}

// Autoscaler describes the sizer's state and, on the leader, its decisions.
func (n *Controller) Autoscaler() (Status, []Decision) {
	s := Status{Node: n.Settings.Controller, Leader: n.view.Leader.Controller, Term: n.view.Term, Leading: n.leadership != nil, Ready: n.replica.Ready(), Target: n.view.ScalingTarget.Target}
	n.view.Machines.All(func(_ int, m *storage.Machine) {
		if m.Exists() {
			s.Fleet++
		}
	})
	n.view.Jobs.All(func(_ int, j *storage.Job) {
		switch {
		case j.Ended():
		case j.AwaitsDependencies():
			s.Jobs++
			s.Waiting++
		default:
			s.Jobs++
			s.Blocked += j.OpenTasks()
		}
	})
	if n.leadership == nil {
		return s, []Decision{}
	}
	h := slices.Clone(n.leadership.provisioner.history)
	slices.SortFunc(h, func(a, b Decision) int { return cmp.Compare(b.AtMS, a.AtMS) })
	return s, h
}
