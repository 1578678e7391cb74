package reconcile

import (
	"bytes"
	"encoding/gob"
	"runtime"
	"testing"
	"time"

	"rockrun/internal/storage"
)

// TestFailoverOfLargeFleet: a controller that acquires every machine sends one command
// request to each and writes nothing, because the records of the earlier holder remain valid.
func TestFailoverOfLargeFleet(t *testing.T) {
	f := newFleetFixtureWithoutHeartbeats(t, largeFleet)
	for range 3 {
		f.refreshViewAndLeases()
		f.reconciler.Tick()
		f.reconciler.pass()
	}
	if held := len(f.reconciler.agents.sorted); held < largeFleet {
		t.Fatalf("only %d machines are held", held)
	}
	if n := len(f.commandRequests); n < largeFleet || n > largeFleet+1 {
		t.Errorf("%d command requests before any machine has answered", n)
	}
	if n := len(f.transactions); n > 0 {
		t.Errorf("%d transactions, want none", n)
	}
}

// TestHeartbeatsOfLargeFleet: every agent sends a heartbeat to a new holder. Running tasks
// need no write, and a heartbeat without changes allocates no more than on a small fleet.
func TestHeartbeatsOfLargeFleet(t *testing.T) {
	f := newFleetFixture(t, largeFleet)
	if n := len(f.transactions); n > 0 {
		t.Errorf("%d transactions, want none", n)
	}
	f.checkHeartbeatAllocations(fleetHeartbeat(7, 2))
}

// TestMachineStatusesSize bounds the encoded size per machine of a holder's statuses for the
// leader.
func TestMachineStatusesSize(t *testing.T) {
	for _, machines := range []int{mediumFleet, largeFleet} {
		f := newFleetFixture(t, machines)
		f.now += 2 * time.Second
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(f.reconciler.MachineStatuses()); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d machines: %d bytes", machines, encoded.Len())
		if n := encoded.Len() / machines; n > 32 {
			t.Errorf("%d machines: %d bytes per machine", machines, n)
		}
	}
}

// TestViewMemoryPerMachine bounds the memory per machine and its task that the view of a
// fleet retains, and the memory that reading the records allocates in total.
func TestViewMemoryPerMachine(t *testing.T) {
	const (
		maxLive      = 1500 // bytes
		maxAllocated = 6000 // allocated while reading, garbage included
	)
	for _, machines := range []int{mediumFleet, mediumFleet * 3 / 2, largeFleet} {
		type record struct {
			key   string
			value []byte
		}
		var records []record
		putFleetRecords(machines, func(key string, r any) { records = append(records, record{key, storage.Encode(r)}) })
		var before, read, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		view := storage.NewView([]storage.Team{{Name: "red"}}, 1)
		for i, r := range records {
			if err := view.Apply(r.key, r.value, uint64(i+1)); err != nil {
				t.Fatal(err)
			}
		}
		runtime.ReadMemStats(&read)
		runtime.GC()
		runtime.ReadMemStats(&after)
		live := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / int64(machines)
		allocated := int64(read.TotalAlloc-before.TotalAlloc) / int64(machines)
		t.Logf("%d machines: %d bytes live, %d allocated per machine", machines, live, allocated)
		if live > maxLive || allocated > maxAllocated {
			t.Errorf("%d machines: per machine %d bytes live (at most %d), %d allocated (at most %d)", machines, live, maxLive, allocated, maxAllocated)
		}
		intents := 0
		view.Machines.All(func(_ int, m *storage.Machine) { intents += len(m.Intents) })
		if intents != machines {
			t.Fatalf("%d intents were read", intents)
		}
	}
}
