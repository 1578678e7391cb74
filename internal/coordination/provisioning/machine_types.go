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
	// typesInterval is the delay between a successful read of the machine types and the next.
	typesInterval = 30 * time.Second
	// typesRetryDelay is the minimum delay before a failed read is retried.
	typesRetryDelay = time.Second
)

// machineTypes reads the cloud's machine types and records them for the other controllers.
type machineTypes struct {
	*Config
	catalogue protocol.MachineTypeCatalogue // empty before the first read
	read      loop.Call
	write     loop.Call
}

// known reports whether the machine types have been read and recorded.
func (t *machineTypes) known() bool {
	return len(t.catalogue.Types) > 0 && t.view().MachineTypesVersion != 0
}

// refresh reads the machine types when a read is due, and records them when they differ from
// the record.
func (t *machineTypes) refresh(now time.Duration) {
	if t.read.TryBegin(now) {
		t.Cloud.MachineTypes(t.onRead)
	}
	if len(t.catalogue.Types) > 0 && !t.recorded() && t.write.TryBegin(now) {
		t.record(now)
	}
}

func (t *machineTypes) onRead(catalogue protocol.MachineTypeCatalogue, err error) {
	retryAt := t.now() + t.Generation.Jitter(typesRetryDelay)
	if err != nil || len(catalogue.Types) == 0 {
		t.read.FinishAndDelayUntil(retryAt)
		t.Log.Debug("machine types read failed", "err", err)
		return
	}
	t.read.FinishAndDelayUntil(t.now() + typesInterval)
	t.catalogue = catalogue
}

func (t *machineTypes) record(now time.Duration) {
	t.Committer.Budget.ForceConsume(now, 1)
	t.Committer.Commit(protocol.Transaction{
		Preconditions: []protocol.Precondition{t.Leadership.Precondition(), {Key: storage.KeyMachineTypes, Version: t.view().MachineTypesVersion}},
		Operations:    []protocol.Operation{{Put: storage.KeyMachineTypes, Value: storage.Encode(t.catalogue)}},
	}, func(uint64, error) {
		t.Generation.AfterIfActive(kv.RetryDelay, t.write.Finish)
	})
}

// recorded reports whether the recorded machine types match those last read, apart from
// small changes of spot prices.
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

// nearlyEqual reports whether a recorded machine type matches the one read. Spot prices may
// differ by a tenth of the recorded price, and on-demand prices are not compared.
func nearlyEqual(recorded, read *protocol.MachineType) bool {
	const priceTolerance = 0.1
	priceChange := recorded.HourlySpotPrice - read.HourlySpotPrice
	if priceChange > priceTolerance*recorded.HourlySpotPrice || priceChange < -priceTolerance*recorded.HourlySpotPrice {
		return false
	}
	return slices.Equal(recorded.Zones, read.Zones) && recorded.CPUs == read.CPUs && recorded.GPUs == read.GPUs &&
		recorded.MemoryGB == read.MemoryGB && recorded.BootSeconds == read.BootSeconds
}
