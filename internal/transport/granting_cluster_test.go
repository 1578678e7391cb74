package transport

import (
	"strconv"
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// grantingCluster is a fake key-value store and leader that grant a controller the only job
// shard, which has a number of machines. No record changes after the grant. Calls to the cloud
// and commands to agents are never answered.
type grantingCluster struct {
	loop   *Loop
	items  []protocol.KeyValue
	events []protocol.Event // changes not yet returned by Watch
}

// grantedKey is the key of an item that marks the grant as made.
const grantedKey = "granted"

// grantToken is the fencing token of the grant.
const grantToken = 1 << 44

// newGrantingCluster returns a grantingCluster with the records of a cluster.
func newGrantingCluster(loop *Loop, machines int) *grantingCluster {
	const groupSize = 50
	g := &grantingCluster{loop: loop}
	g.addRecord(storage.KeyLeader, storage.LeaderRecord{Controller: "b", Incarnation: 1, Term: 1})
	g.addRecord(storage.KeyTerm, storage.TermRecord{Term: 1})
	g.addRecord(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	g.addRecord(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 32, Zones: []string{"z"}}}})
	for first := 0; first < machines; first += groupSize {
		group := storage.MachineGroupRecord{Type: "small", Zone: "z"}
		for i := first; i < min(first+groupSize, machines); i++ {
			group.Machines = append(group.Machines, storage.MachineEntry{Name: machineName(i), Address: "10.1.0.1:9000"})
		}
		g.addRecord(storage.MachineGroupKey(strconv.Itoa(first)), group)
	}
	return g
}

// addRecord adds an initial record.
func (g *grantingCluster) addRecord(key string, record any) {
	g.items = append(g.items, protocol.KeyValue{Key: key, Value: storage.Encode(record), Version: uint64(len(g.items) + 1)})
}

// Get implements kv.Store.
func (g *grantingCluster) Get(_ string, done func(protocol.KeyValue, bool, error)) {
	done(protocol.KeyValue{}, false, nil)
}

// List implements kv.Store.
func (g *grantingCluster) List(_, _ string, done func(protocol.KeyValuePage, error)) {
	g.loop.After(0, func() { done(protocol.KeyValuePage{Items: g.items, Revision: uint64(len(g.items))}, nil) })
}

// Commit implements kv.Store.
func (g *grantingCluster) Commit(_ protocol.Transaction, done func(uint64, error)) {
	done(0, protocol.ErrConflict)
}

// OpenLease implements kv.Store.
func (g *grantingCluster) OpenLease(_ time.Duration, done func(uint64, error)) {
	done(0, protocol.ErrNotExecuted)
}

// RenewLease implements kv.Store.
func (g *grantingCluster) RenewLease(_ uint64, done func(error)) { done(nil) }

// RevokeLease implements kv.Store.
func (g *grantingCluster) RevokeLease(_ uint64, done func(error)) { done(nil) }

// MachineTypes implements provisioning.Cloud.
func (g *grantingCluster) MachineTypes(func(protocol.MachineTypeCatalogue, error)) {}

// CreateMachines implements provisioning.Cloud.
func (g *grantingCluster) CreateMachines(protocol.CreateMachinesRequest, func([]string, error)) {}

// DeleteMachines implements provisioning.Cloud.
func (g *grantingCluster) DeleteMachines([]string, func(error)) {}

// Watch implements kv.Store.
func (g *grantingCluster) Watch(_ string, after uint64, wait time.Duration, done func(protocol.Changes, error)) {
	if len(g.events) > 0 {
		wait = 0
	}
	g.loop.After(wait, func() {
		changes := protocol.Changes{Revision: after, Events: g.events}
		if len(g.events) > 0 {
			changes.Revision = g.events[len(g.events)-1].Version
		}
		g.events = nil
		done(changes, nil)
	})
}

// Execute implements reconcile.Agents.
func (g *grantingCluster) Execute(string, protocol.CommandRequest, func(*protocol.AgentHeartbeat, bool, error)) {
}

// SendRequest implements membership.Peers. On the first heartbeat it makes the grant, which must
// contain the incarnation in that heartbeat.
func (g *grantingCluster) SendRequest(_ string, request protocol.PeerRequest, done func(protocol.PeerAnswer, error)) {
	if request.Heartbeat == nil {
		return
	}
	if len(g.items) > 0 && g.items[len(g.items)-1].Key != grantedKey {
		g.items = append(g.items, protocol.KeyValue{Key: grantedKey})
		record := storage.GrantRecord{Controller: "a", Incarnation: request.Heartbeat.Incarnation, FencingToken: grantToken}
		g.events = []protocol.Event{{Put: storage.GrantKey(0), Value: storage.Encode(record), Version: 1000}}
	}
	reply := &protocol.PeerHeartbeatReply{Leader: true, Term: 1, SentAt: request.Heartbeat.SentAt, Shards: []int{0}}
	g.loop.After(0, func() { done(protocol.PeerAnswer{Reply: reply}, nil) })
}
