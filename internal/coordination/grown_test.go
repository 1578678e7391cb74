package coordination

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// The size of a grown deployment: machines held, blocks they were rented in, and
// tasks of arrays on them.
const (
	grownMachines = 1200
	grownBlock    = 40
	grownPerJob   = 60
	grownPerPage  = 30
)

func grownMachine(i int) string { return fmt.Sprintf("m-%06d", i) }

// grownRecords hands the records of a fleet on which every machine runs one task
// to put, and returns how many tasks there are.
func grownRecords(machines int, put func(key string, record any)) int {
	put(bookkeeping.KeyTypes, protocol.Catalogue{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 32, Price: 1, SpotPrice: 0.3, BootS: 30, Zones: []string{"z"}}}})
	put(bookkeeping.KeyHomes, bookkeeping.HomesRecord{Homes: 1})
	for i := 0; i < machines; i += grownBlock {
		rec := bookkeeping.BlockRecord{Type: "small", Zone: "z", Spot: true}
		for j := i; j < min(i+grownBlock, machines); j++ {
			rec.Machines = append(rec.Machines, bookkeeping.BlockMachine{Name: grownMachine(j), Addr: fmt.Sprintf("10.1.%d.%d:9000", j/250, j%250)})
		}
		put(bookkeeping.BlockKey(fmt.Sprint(i)), rec)
	}
	job := func(task int) string { return fmt.Sprintf("run-%06d", task/grownPerJob) }
	for i := 0; i < machines; i += grownPerJob {
		put(bookkeeping.JobKey(job(i)), bookkeeping.JobRecord{Spec: protocol.Spec{
			ID: job(i), Class: "report", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: grownPerJob,
			CPUs: 4, MemoryGB: 29, Spot: true, EstimateS: 15, DeadlineS: 90, Image: "img-03", ImageGB: 0.8,
		}})
	}
	for i := 0; i < machines; i += grownPerPage {
		page := bookkeeping.IntentPage{}
		for j := i; j < min(i+grownPerPage, machines); j++ {
			page[job(j)] = append(page[job(j)], bookkeeping.IntentEntry(j%grownPerJob, grownMachine(j), grownTry))
		}
		page[job(i)] = append(page[job(i)], bookkeeping.IntentHead("red", 4, 0, 29))
		put(bookkeeping.IntentKey(bookkeeping.PageID{Page: i / grownPerPage}), page)
	}
	return machines
}

const grownTry = 5<<24 | 7

// grownReport is what the worker of a machine says while its task runs.
func grownReport(i int, seq uint64) *protocol.Report {
	return &protocol.Report{
		Machine: grownMachine(i), Address: "w", Type: "small", Zone: "z", Spot: true, Session: 1, Seq: seq, Token: grantToken,
		Tasks: []protocol.TaskStatus{{Task: protocol.TaskName(fmt.Sprintf("run-%06d", i/grownPerJob), i%grownPerJob), Attempt: grownTry, State: protocol.TaskRunning}},
	}
}

// grownBench is a node that holds a grown fleet, every machine of which has
// reported its running task.
func grownBench(tb testing.TB) *bench { return benchOf(tb, grownMachines) }

// benchOf is the same with so many machines.
func benchOf(tb testing.TB, machines int) *bench {
	b := unheardBench(tb, machines)
	for i := range machines {
		b.n.OnReport(grownReport(i, 1), func(a Answer) {
			if a.Status != 200 {
				tb.Fatalf("status %d: %v", a.Status, a.Body)
			}
		})
	}
	b.n.hold.pass()
	if n := len(b.n.hold.placed); n < machines {
		tb.Fatalf("%d tasks are placed", n)
	}
	return b
}

// unheardBench is a node that has just been granted a fleet, no machine of which has
// reported to it.
func unheardBench(tb testing.TB, machines int) *bench {
	b := newBench(tb)
	b.n.Settings.Cluster.Teams[0].CPUsMax = 0
	b.n.cache.Teams[0].CPUsMax = 0
	grownRecords(machines, b.apply)
	b.n.changed(true)
	return b
}

// waitingJob adds a job for whose tasks there is no room.
func (b *bench) waitingJob() {
	b.apply(bookkeeping.JobKey("run-999999"), bookkeeping.JobRecord{Spec: protocol.Spec{
		ID: "run-999999", Class: "report", Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 500, CPUs: 4, MemoryGB: 29, Spot: true, EstimateS: 15,
	}})
	b.n.changed(true)
}

// BenchmarkPass is one placing pass over a grown fleet: with nothing to place, and
// with work that finds no room.
func BenchmarkPass(b *testing.B) {
	for _, waiting := range []bool{false, true} {
		b.Run(fmt.Sprintf("waiting=%t", waiting), func(b *testing.B) {
			g := grownBench(b)
			if waiting {
				g.waitingJob()
			}
			b.ReportAllocs()
			for b.Loop() {
				g.n.hold.pass()
			}
		})
	}
}

// BenchmarkHeartbeat is a heartbeat of the holder of a grown fleet, made, encoded
// and decoded again.
func BenchmarkHeartbeat(b *testing.B) {
	g := grownBench(b)
	var link bytes.Buffer
	enc, dec := gob.NewEncoder(&link), gob.NewDecoder(&link)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		if err := enc.Encode(protocol.PeerRequest{Heartbeat: &protocol.Heartbeat{Node: "a", Machines: g.n.hold.notes()}}); err != nil {
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
	g := grownBench(b)
	page := bookkeeping.IntentPage{}
	for j := range grownPerPage {
		page["run-000000"] = append(page["run-000000"], bookkeeping.IntentEntry(j, grownMachine(j), grownTry))
	}
	value := bookkeeping.Encode(page)
	b.ReportAllocs()
	for b.Loop() {
		g.rev++
		if err := g.n.cache.Apply(bookkeeping.IntentKey(firstPage), value, g.rev); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTakenIn is a report without news, judged and answered.
func BenchmarkTakenIn(b *testing.B) {
	g := grownBench(b)
	r := grownReport(7, 2)
	reply := func(Answer) {}
	b.ReportAllocs()
	for b.Loop() {
		r.Seq++
		g.n.OnReport(r, reply)
	}
}

// TestPassAllocations: a pass that finds nothing to do allocates nothing that grows
// with the fleet, whether work waits or not.
func TestPassAllocations(t *testing.T) {
	for _, machines := range []int{grownMachines, fleetMachines} {
		b := benchOf(t, machines)
		if n := testing.AllocsPerRun(20, b.n.hold.pass); n > 16 {
			t.Errorf("%d machines: %v allocations for a pass with nothing to place", machines, n)
		}
		b.waitingJob()
		if n := testing.AllocsPerRun(20, b.n.hold.pass); n > 64 {
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
	for _, machines := range []int{grownMachines, grownMachines * 3 / 2, fleetMachines} {
		type record struct {
			key   string
			value []byte
		}
		var records []record
		grownRecords(machines, func(key string, r any) { records = append(records, record{key, bookkeeping.Encode(r)}) })
		var before, read, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := bookkeeping.NewCache([]bookkeeping.Team{{Name: "red"}}, 1)
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
		c.Machines.All(func(_ int, m *bookkeeping.Machine) { intents += len(m.Intents) })
		if intents != machines {
			t.Fatalf("%d intents were read", intents)
		}
	}
}

// TestHeartbeatSize bounds what a holder tells the leader about each machine.
func TestHeartbeatSize(t *testing.T) {
	for _, machines := range []int{grownMachines, fleetMachines} {
		b := benchOf(t, machines)
		b.now += 2 * time.Second
		var link bytes.Buffer
		if err := gob.NewEncoder(&link).Encode(b.n.hold.notes()); err != nil {
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
	g := grownBench(b)
	w := g.n.hold.writers[0]
	b.ReportAllocs()
	for b.Loop() {
		if op := w.intents(w.pages[0]); len(op.Value) == 0 {
			b.Fatal("an empty value")
		}
	}
}

// BenchmarkSizerCycle is a cycle of the sizer over a grown fleet on which work waits.
func BenchmarkSizerCycle(b *testing.B) {
	g := grownBench(b)
	g.waitingJob()
	f := g.leading()
	b.ReportAllocs()
	for b.Loop() {
		f.size(g.now)
	}
}
