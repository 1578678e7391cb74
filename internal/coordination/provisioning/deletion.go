package provisioning

import (
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/storage"
)

const (
	// deletedRecordDelay is how long the record that a machine is deleted waits for company
	// where nobody waits for it.
	deletedRecordDelay = 4 * time.Second
	// maxDeletions is how many machines are deleted with one call.
	maxDeletions = 100
	// deleteRetryPause is the least pause after a call that failed.
	deleteRetryPause = 500 * time.Millisecond
)

// deletions gives machines back to the cloud whose decommissioning is recorded.
type deletions struct {
	*Config
	writer    *groupWriter
	call      loop.Call
	deletedAt map[string]time.Duration // by the cloud, not yet in the records, and since when
}

func newDeletions(c *Config, w *groupWriter) *deletions {
	return &deletions{Config: c, writer: w, deletedAt: map[string]time.Duration{}}
}

// advance deletes machines and records those that the cloud has deleted.
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

// recordDeleted records what the cloud has deleted, however often that takes.
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

// due lists machines that the cloud has yet to delete.
func (d *deletions) due() []*storage.Machine {
	var machines []*storage.Machine
	d.view().Machines.All(func(_ int, m *storage.Machine) {
		decommissioned := m.Group != "" && m.Phase == storage.PhaseDecommissioning
		if decommissioned && d.deletedAt[m.Name] == 0 && len(machines) < maxDeletions {
			machines = append(machines, m)
		}
	})
	return machines
}

func (d *deletions) onAnswer(names []string, err error) {
	d.call.Done(d.now() + kv.RetryPause)
	if !d.Leadership.Current() {
		return
	}
	if err != nil {
		d.Log.Debug("machines not deleted", "err", err)
		d.call.RetryAt(d.now() + d.Generation.Jitter(deleteRetryPause))
		return
	}
	for _, name := range names {
		d.deletedAt[name] = d.now()
	}
}
