package coordination

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"rockrun/internal/coordination/api"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// The size of a grown deployment: machines held, blocks they were rented in, and
// tasks of arrays on them.
const (
	mediumFleet       = 1200
	fleetGroupSize    = 40
	fleetTasksPerJob  = 60
	fleetTasksPerPage = 30
)

func fleetMachineName(i int) string { return fmt.Sprintf("m-%06d", i) }

// grownRecords hands the records of a fleet on which every machine runs one task
// to put, and returns how many tasks there are.
func fleetRecords(machines int, put func(key string, record any)) int {
	put(storage.KeyMachineTypes, protocol.MachineTypeCatalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 32, HourlyPrice: 1, HourlySpotPrice: 0.3, BootSeconds: 30, Zones: []string{"z"}}}})
	put(storage.KeyJobShards, storage.JobShardsRecord{JobShards: 1})
	for i := 0; i < machines; i += fleetGroupSize {
		rec := storage.MachineGroupRecord{Type: "small", Zone: "z", Spot: true}
		for j := i; j < min(i+fleetGroupSize, machines); j++ {
			rec.Machines = append(rec.Machines, storage.MachineEntry{Name: fleetMachineName(j), Address: fmt.Sprintf("10.1.%d.%d:9000", j/250, j%250)})
		}
		put(storage.MachineGroupKey(fmt.Sprint(i)), rec)
	}
	job := func(task int) string { return fmt.Sprintf("run-%06d", task/fleetTasksPerJob) }
	for i := 0; i < machines; i += fleetTasksPerJob {
		put(storage.JobKey(job(i)), storage.JobRecord{Spec: protocol.JobSpec{
			ID: job(i), Class: "report", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: fleetTasksPerJob,
			CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15, DeadlineSeconds: 90, Image: "img-03", ImageGB: 0.8,
		}})
	}
	for i := 0; i < machines; i += fleetTasksPerPage {
		page := storage.IntentPage{}
		for j := i; j < min(i+fleetTasksPerPage, machines); j++ {
			page[job(j)] = append(page[job(j)], storage.IntentEntry(j%fleetTasksPerJob, fleetMachineName(j), fleetAttempt))
		}
		page[job(i)] = append(page[job(i)], storage.IntentHeader("red", 4, 0, 29))
		put(storage.IntentPageKey(storage.PageID{Page: i / fleetTasksPerPage}), page)
	}
	return machines
}

const fleetAttempt = 5<<24 | 7

// grownReport is what the worker of a machine says while its task runs.
func fleetHeartbeat(i int, seq uint64) *protocol.AgentHeartbeat {
	return &protocol.AgentHeartbeat{
		Machine: fleetMachineName(i), Address: "w", MachineType: "small", Zone: "z", Spot: true, Epoch: 1, Sequence: seq, FencingToken: grantToken,
		Tasks: []protocol.TaskStatus{{Task: protocol.TaskName(fmt.Sprintf("run-%06d", i/fleetTasksPerJob), i%fleetTasksPerJob), Attempt: fleetAttempt, State: protocol.TaskRunning}},
	}
}

// grownBench is a node that holds a grown fleet, every machine of which has
// reported its running task.
func newFleetController(tb testing.TB) *testController { return newFleetControllerOf(tb, mediumFleet) }

// benchOf is the same with so many machines.
func newFleetControllerOf(tb testing.TB, machines int) *testController {
	b := newUnreportedFleetController(tb, machines)
	for i := range machines {
		b.controller.OnAgentHeartbeat(fleetHeartbeat(i, 1), func(a api.Answer) {
			if a.Status != 200 {
				tb.Fatalf("status %d: %v", a.Status, a.Body)
			}
		})
	}
	b.controller.reconciler.pass()
	if n := len(b.controller.reconciler.attemptsByTask); n < machines {
		tb.Fatalf("%d tasks are placed", n)
	}
	return b
}

// unheardBench is a node that has just been granted a fleet, no machine of which has
// reported to it.
func newUnreportedFleetController(tb testing.TB, machines int) *testController {
	b := newTestController(tb)
	b.controller.Settings.Cluster.Teams[0].MaxCPUs = 0
	b.controller.view.Teams[0].MaxCPUs = 0
	fleetRecords(machines, b.apply)
	b.controller.recordsChanged(true)
	return b
}

// waitingJob adds a job for whose tasks there is no room.
func (b *testController) waitingJob() {
	b.apply(storage.JobKey("run-999999"), storage.JobRecord{Spec: protocol.JobSpec{
		ID: "run-999999", Class: "report", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 500, CPUs: 4, MemoryGB: 29, Spot: true, EstimateSeconds: 15,
	}})
	b.controller.recordsChanged(true)
}

// BenchmarkPass is one placing pass over a grown fleet: with nothing to place, and
// with work that finds no room.
func BenchmarkPass(b *testing.B) {
	for _, waiting := range []bool{false, true} {
		b.Run(fmt.Sprintf("waiting=%t", waiting), func(b *testing.B) {
			g := newFleetController(b)
			if waiting {
				g.waitingJob()
			}
			b.ReportAllocs()
			for b.Loop() {
				g.controller.reconciler.pass()
			}
		})
	}
}

// BenchmarkHeartbeat is a heartbeat of the holder of a grown fleet, made, encoded
// and decoded again.
func BenchmarkHeartbeat(b *testing.B) {
	g := newFleetController(b)
	var link bytes.Buffer
	enc, dec := gob.NewEncoder(&link), gob.NewDecoder(&link)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		if err := enc.Encode(protocol.PeerRequest{Heartbeat: &protocol.PeerHeartbeat{Controller: "a", Machines: g.controller.reconciler.MachineStatuses()}}); err != nil {
			b.Fatal(err)
		}
		size = link.Len()
		var r protocol.PeerRequest
		if err := dec.Decode(&r); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes/heartbeat")
}

// BenchmarkApplyPage is a page of intents taken in from the changes.
func BenchmarkApplyPage(b *testing.B) {
	g := newFleetController(b)
	page := storage.IntentPage{}
	for j := range fleetTasksPerPage {
		page["run-000000"] = append(page["run-000000"], storage.IntentEntry(j, fleetMachineName(j), fleetAttempt))
	}
	value := storage.Encode(page)
	b.ReportAllocs()
	for b.Loop() {
		g.revision++
		if err := g.controller.view.Apply(storage.IntentPageKey(firstPage), value, g.revision); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTakenIn is a report without news, judged and answered.
func BenchmarkTakenIn(b *testing.B) {
	g := newFleetController(b)
	r := fleetHeartbeat(7, 2)
	reply := func(api.Answer) {}
	b.ReportAllocs()
	for b.Loop() {
		r.Sequence++
		g.controller.OnAgentHeartbeat(r, reply)
	}
}

// TestPassAllocations: a pass that finds nothing to do allocates nothing that grows
// with the fleet, whether work waits or not.
func TestPassAllocations(t *testing.T) {
	for _, machines := range []int{mediumFleet, largeFleet} {
		b := newFleetControllerOf(t, machines)
		if n := testing.AllocsPerRun(20, b.controller.reconciler.pass); n > 16 {
			t.Errorf("%d machines: %v allocations for a pass with nothing to place", machines, n)
		}
		b.waitingJob()
		if n := testing.AllocsPerRun(20, b.controller.reconciler.pass); n > 64 {
			t.Errorf("%d machines: %v allocations for a pass with work that finds no room", machines, n)
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

// TestHeartbeatSize bounds what a holder tells the leader about each machine.
func TestHeartbeatSize(t *testing.T) {
	for _, machines := range []int{mediumFleet, largeFleet} {
		b := newFleetControllerOf(t, machines)
		b.now += 2 * time.Second
		var link bytes.Buffer
		if err := gob.NewEncoder(&link).Encode(b.controller.reconciler.MachineStatuses()); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d machines: %d bytes", machines, link.Len())
		if n := link.Len() / machines; n > 32 {
			t.Errorf("%d machines: %d bytes for each", machines, n)
		}
	}
}

// BenchmarkPageWritten is the value of a page of intents, made to be written.
func BenchmarkPageWritten(b *testing.B) {
	g := newFleetController(b)
	w := g.controller.reconciler.writers[0]
	b.ReportAllocs()
	for b.Loop() {
		if op := w.intentPageOperation(w.intentPages[0]); len(op.Value) == 0 {
			b.Fatal("an empty value")
		}
	}
}
