package provisioning

import (
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/storage"
)

const (
	// deletedRecordDelay is how long the record of a deletion is delayed if no attempts may be
	// on the machine, so that several deletions share a write.
	deletedRecordDelay = 4 * time.Second
	// maxDeletionsPerCall is the maximum number of machines deleted with one call.
	maxDeletionsPerCall = 100
	// deleteRetryDelay is the minimum delay after a failed call.
	deleteRetryDelay = 500 * time.Millisecond
)

// deletions deletes machines at the cloud once their decommissioning is recorded.
type deletions struct {
	*Config
	writer    *groupWriter
	call      loop.Call
	deletedAt map[string]time.Duration // when the cloud confirmed a deletion that the records don't show yet
}

func newDeletions(c *Config, w *groupWriter) *deletions {
	return &deletions{Config: c, writer: w, deletedAt: map[string]time.Duration{}}
}

// advance deletes decommissioned machines at the cloud, and records the deletions that the
// cloud has confirmed.
func (d *deletions) advance(now time.Duration) {
	d.recordDeleted(now)
	machines := d.due()
	if len(machines) == 0 || !d.call.TryBegin(now) {
		return
	}
	names := make([]string, len(machines))
	for i, m := range machines {
		names[i] = m.Name
	}
	d.Cloud.DeleteMachines(names, func(err error) { d.onAnswer(names, err) })
}

// recordDeleted records the deletions that the cloud has confirmed, and retries until the view
// shows them.
func (d *deletions) recordDeleted(now time.Duration) {
	for name, deletedAt := range d.deletedAt {
		_, m := d.view().Machines.Find(name)
		switch {
		case m == nil || m.Phase != storage.PhaseDecommissioning:
			delete(d.deletedAt, name)
		case len(m.Intents) > 0 || now-deletedAt > deletedRecordDelay:
			d.writer.setPhase(m, storage.PhaseDeleted, "deleted")
		}
	}
}

// due returns decommissioned machines that the cloud has not yet deleted, up to the limit of
// one call.
func (d *deletions) due() []*storage.Machine {
	var machines []*storage.Machine
	d.view().Machines.All(func(_ int, m *storage.Machine) {
		decommissioned := m.Group != "" && m.Phase == storage.PhaseDecommissioning
		if decommissioned && d.deletedAt[m.Name] == 0 && len(machines) < maxDeletionsPerCall {
			machines = append(machines, m)
		}
	})
	return machines
}

func (d *deletions) onAnswer(names []string, err error) {
	d.call.FinishAndDelayUntil(d.now() + kv.RetryDelay)
	if !d.Leadership.Current() {
		return
	}
	if err != nil {
		d.Log.Debug("machine deletion failed", "err", err)
		d.call.DelayUntil(d.now() + d.Generation.Jitter(deleteRetryDelay))
		return
	}
	for _, name := range names {
		d.deletedAt[name] = d.now()
	}
}
