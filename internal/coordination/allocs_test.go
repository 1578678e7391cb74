package coordination

import (
	"fmt"
	"testing"

	"rockrun/internal/bookkeeping"
	"rockrun/internal/protocol"
)

// A report that says nothing new is what a controller gets most of: it must cost
// next to nothing to take in, however many machines there are.
func TestReportAllocations(t *testing.T) {
	b := newBench(t, inherited)
	b.report(1, grantToken, running)
	r := &protocol.Report{Machine: "m-1", Address: "w", Type: "small", Zone: "z", Session: 1, Seq: 1, Token: grantToken, Tasks: []protocol.TaskStatus{running}}
	b.n.hold.pass() // what the first report asked for is sent
	b.boundReportAllocations(r)
}

// boundReportAllocations asserts what a report without news allocates.
func (b *bench) boundReportAllocations(r *protocol.Report) {
	b.t.Helper()
	reply := func(a Answer) {
		if a.Status != 200 {
			b.t.Fatalf("status %d", a.Status)
		}
	}
	if n := testing.AllocsPerRun(200, func() {
		r.Seq++
		b.n.OnReport(r, reply)
	}); n > 2 {
		b.t.Errorf("%v allocations for a report without news", n)
	}
}

// Changes of jobs and of pages of intents come many times a second; the machines
// held are gone through only where what there is to hold has changed.
func TestMachinesAreGoneThroughOnNeed(t *testing.T) {
	b := newBench(t)
	looks := func(key string, record any) bool {
		before := b.n.cache.FleetSeen
		b.apply(key, record)
		b.n.changed(true)
		if b.n.hold.fleetSeen != b.n.cache.FleetSeen {
			t.Fatal("the holder has not looked at the last change")
		}
		return b.n.cache.FleetSeen != before
	}
	for i := range 5 {
		if looks(bookkeeping.JobKey(fmt.Sprintf("run-%d", 50+i)), bookkeeping.JobRecord{Spec: protocol.Spec{
			ID: fmt.Sprintf("run-%d", 50+i), Team: "red", Kind: protocol.KindArray, Priority: "normal", Tasks: 1, CPUs: 4, MemoryGB: 1,
		}}) {
			t.Error("a job made it go through all machines")
		}
	}
	if looks(bookkeeping.IntentKey(firstPage), bookkeeping.IntentPage{"run-1": {bookkeeping.IntentEntry(0, "m-1", 11)}}) {
		t.Error("a page of intents made it go through all machines")
	}
	if !looks(bookkeeping.BlockKey("c"), bookkeeping.BlockRecord{Type: "small", Zone: "z", Machines: []bookkeeping.BlockMachine{{Name: "m-2", Addr: "v"}}}) {
		t.Error("a new block did not")
	}
	if b.n.hold.machines["m-2"] == nil {
		t.Error("the new machine is not held")
	}
	b.rev++
	b.n.cache.Remove(bookkeeping.JobKey("run-50"), b.rev)
	b.n.changed(true)
	if b.n.hold.jobsOver != b.n.cache.JobsOver {
		t.Error("the end of a job was not looked at")
	}
}
