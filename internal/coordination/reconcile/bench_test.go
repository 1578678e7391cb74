package reconcile

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// BenchmarkPass measures a pass over a fleet, without pending tasks and with pending tasks
// that fit on no machine.
func BenchmarkPass(b *testing.B) {
	for _, waiting := range []bool{false, true} {
		b.Run(fmt.Sprintf("waiting=%t", waiting), func(b *testing.B) {
			f := newFleetFixture(b, mediumFleet)
			if waiting {
				f.addUnplaceableJob()
			}
			b.ReportAllocs()
			for b.Loop() {
				f.reconciler.pass()
			}
		})
	}
}

// BenchmarkMachineStatuses measures building, encoding and decoding the peer heartbeat of
// the holder of a fleet.
func BenchmarkMachineStatuses(b *testing.B) {
	f := newFleetFixture(b, mediumFleet)
	var buffer bytes.Buffer
	enc, dec := gob.NewEncoder(&buffer), gob.NewDecoder(&buffer)
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		if err := enc.Encode(protocol.PeerRequest{Heartbeat: &protocol.PeerHeartbeat{Controller: "a", Machines: f.reconciler.MachineStatuses()}}); err != nil {
			b.Fatal(err)
		}
		size = buffer.Len()
		var request protocol.PeerRequest
		if err := dec.Decode(&request); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes/heartbeat")
}

// BenchmarkApplyPage measures applying a changed intent page to the view.
func BenchmarkApplyPage(b *testing.B) {
	f := newFleetFixture(b, mediumFleet)
	page := storage.IntentPage{}
	for j := range fleetTasksPerPage {
		page["run-000000"] = append(page["run-000000"], storage.IntentEntry(j, fleetMachineName(j), fleetAttempt))
	}
	value := storage.Encode(page)
	b.ReportAllocs()
	for b.Loop() {
		f.revision++
		if err := f.view.Apply(storage.IntentPageKey(firstPage), value, f.revision); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkOnHeartbeat measures processing and answering a heartbeat without changes.
func BenchmarkOnHeartbeat(b *testing.B) {
	f := newFleetFixture(b, mediumFleet)
	heartbeat := fleetHeartbeat(7, 2)
	_, machine := f.view.Machines.Find(heartbeat.Machine)
	reply := func(protocol.AgentHeartbeatAnswer) {}
	b.ReportAllocs()
	for b.Loop() {
		heartbeat.Sequence++
		if err := f.reconciler.OnHeartbeat(machine, heartbeat, reply); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPageWritten measures encoding an intent page for a write.
func BenchmarkPageWritten(b *testing.B) {
	f := newFleetFixture(b, mediumFleet)
	writer := f.reconciler.writers[0]
	b.ReportAllocs()
	for b.Loop() {
		if op := writer.intentPageOperation(writer.intentPages[0]); len(op.Value) == 0 {
			b.Fatal("intent page has an empty value")
		}
	}
}
