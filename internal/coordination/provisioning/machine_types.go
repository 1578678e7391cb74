package provisioning

import (
	"slices"
	"time"

	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	// typesInterval is the time between two reads of the machine types.
	typesInterval = 30 * time.Second
	// typesRetryPause is the least pause after a read that failed.
	typesRetryPause = time.Second
)

// machineTypes reads what the cloud rents out, and records it for the other controllers.
type machineTypes struct {
	*Config
	catalogue protocol.MachineTypeCatalogue // none before the first read
	read      loop.Call
	write     loop.Call
}

// known reports whether the machine types have been read and recorded.
func (t *machineTypes) known() bool {
	return len(t.catalogue.Types) > 0 && t.view().MachineTypesVersion != 0
}

// refresh reads and records the machine types where that is due.
func (t *machineTypes) refresh(now time.Duration) {
	if t.read.TryBegin(now) {
		t.Cloud.MachineTypes(t.onRead)
	}
	if len(t.catalogue.Types) > 0 && !t.recorded() && t.write.TryBegin(now) {
		t.record(now)
	}
}

func (t *machineTypes) onRead(catalogue protocol.MachineTypeCatalogue, err error) {
	retryAt := t.now() + t.Generation.Jitter(typesRetryPause)
	if err != nil || len(catalogue.Types) == 0 {
		t.read.Done(retryAt)
		t.Log.Debug("machine types not read", "err", err)
		return
	}
	t.read.Done(t.now() + typesInterval)
	t.catalogue = catalogue
}

func (t *machineTypes) record(now time.Duration) {
	t.Committer.Budget.TakeAnyway(now, 1)
	t.Committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{t.Leadership.Condition(), {Key: storage.KeyMachineTypes, Version: t.view().MachineTypesVersion}},
		Operations: []protocol.Operation{{Put: storage.KeyMachineTypes, Value: storage.Encode(t.catalogue)}},
	}, func(uint64, error) {
		t.Generation.Later(kv.RetryPause, t.write.Finish)
	})
}

// recorded reports whether the recorded machine types are those read, but for small moves
// of spot prices.
func (t *machineTypes) recorded() bool {
	view := t.view()
	if view.MachineTypesVersion == 0 {
		return false
	}
	for i := range t.catalogue.Types {
		read := &t.catalogue.Types[i]
		index := view.MachineTypeNames.Lookup(read.Name)
		if index < 0 || !nearlyEqual(&view.MachineTypes[index], read) {
			return false
		}
	}
	return true
}

// nearlyEqual reports whether a machine type is recorded as it was read; its spot price may
// have moved by a tenth, and its other price does not count.
func nearlyEqual(recorded, read *protocol.MachineType) bool {
	const priceTolerance = 0.1
	moved := recorded.HourlySpotPrice - read.HourlySpotPrice
	if moved > priceTolerance*recorded.HourlySpotPrice || moved < -priceTolerance*recorded.HourlySpotPrice {
		return false
	}
	return slices.Equal(recorded.Zones, read.Zones) && recorded.CPUs == read.CPUs && recorded.GPUs == read.GPUs &&
		recorded.MemoryGB == read.MemoryGB && recorded.BootSeconds == read.BootSeconds
}
