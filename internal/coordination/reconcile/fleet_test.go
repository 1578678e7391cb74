package reconcile

import (
	"bytes"
	"encoding/gob"
	"runtime"
	"testing"
	"time"

	"rockrun/internal/storage"
)

// TestFailoverOfFourThousand: a controller that takes over every machine says one thing
// to each and writes nothing: the records are those of the holder before.
func TestFailoverOfFourThousand(t *testing.T) {
	f := newUnheardFleetFixture(t, largeFleet)
	for range 3 {
		f.refreshKnowledge()
		f.reconciler.Tick()
		f.reconciler.pass()
	}
	if held := len(f.reconciler.agents.sorted); held < largeFleet {
		t.Fatalf("%d machines are held", held)
	}
	if n := len(f.commandRequests); n < largeFleet || n > largeFleet+1 {
		t.Errorf("%d commands before any machine has answered", n)
	}
	if n := len(f.transactions); n > 0 {
		t.Errorf("%d transactions", n)
	}
}

// TestHeartbeatsOfFourThousand: every agent sends a heartbeat to a new holder. One without
// news costs no more than on a small fleet, and what runs needs no write.
func TestHeartbeatsOfFourThousand(t *testing.T) {
	f := newFleetFixture(t, largeFleet)
	if n := len(f.transactions); n > 0 {
		t.Errorf("%d transactions", n)
	}
	f.boundHeartbeatAllocations(fleetHeartbeat(7, 2))
}

// TestMachineStatusesSize bounds what a holder tells the leader about each machine.
func TestMachineStatusesSize(t *testing.T) {
	for _, machines := range []int{mediumFleet, largeFleet} {
		f := newFleetFixture(t, machines)
		f.now += 2 * time.Second
		var link bytes.Buffer
		if err := gob.NewEncoder(&link).Encode(f.reconciler.MachineStatuses()); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d machines: %d bytes", machines, link.Len())
		if n := link.Len() / machines; n > 32 {
			t.Errorf("%d machines: %d bytes for each", machines, n)
		}
	}
}

// TestLiveMemory bounds what the records of a fleet hold once they are read, and
// what reading them takes in all, per machine with its task.
func TestLiveMemory(t *testing.T) {
	const (
		mostLive  = 1500 // bytes
		mostTaken = 6000 // allocated while reading, garbage included
	)
	for _, machines := range []int{mediumFleet, mediumFleet * 3 / 2, largeFleet} {
		type record struct {
			key   string
			value []byte
		}
		var records []record
		fleetRecords(machines, func(key string, r any) { records = append(records, record{key, storage.Encode(r)}) })
		var before, read, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := storage.NewView([]storage.Team{{Name: "red"}}, 1)
		for i, r := range records {
			if err := c.Apply(r.key, r.value, uint64(i+1)); err != nil {
				t.Fatal(err)
			}
		}
		runtime.ReadMemStats(&read)
		runtime.GC()
		runtime.ReadMemStats(&after)
		live := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / int64(machines)
		taken := int64(read.TotalAlloc-before.TotalAlloc) / int64(machines)
		t.Logf("%d machines: %d bytes live, %d allocated for each", machines, live, taken)
		if live > mostLive || taken > mostTaken {
			t.Errorf("%d machines: %d bytes live for each (at most %d), %d allocated (at most %d)", machines, live, mostLive, taken, mostTaken)
		}
		intents := 0
		c.Machines.All(func(_ int, m *storage.Machine) { intents += len(m.Intents) })
		if intents != machines {
			t.Fatalf("%d intents were read", intents)
		}
	}
}
