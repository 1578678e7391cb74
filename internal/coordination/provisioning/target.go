package provisioning

import (
	"slices"
	"time"

	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	// targetInterval is the minimum delay between two writes of the scaling target.
	targetInterval = 5 * time.Second
	// maxDrainingNamed bounds the draining machines that the record names. A page of names is
	// enough for its readers.
	maxDrainingNamed = 50
)

// targetWriter records the target size of the fleet, the term that set it, and the draining
// machines.
type targetWriter struct {
	*Config
	call loop.Call
}

// update writes the scaling target if it has changed.
func (w *targetWriter) update(now time.Duration, supplies []*autoscaler.Supply) {
	record := scalingTarget(w.Leadership.Term(), supplies)
	if sameTarget(&w.view().ScalingTarget, &record) || !w.call.Ready(now) || !w.Committer.Budget.TryConsume(now, 1) {
		return
	}
	w.call.Begin()
	w.Committer.Commit(protocol.Transaction{
		Preconditions: []protocol.Precondition{w.Leadership.Precondition(), {Key: storage.KeyScalingTarget, Version: w.view().ScalingTargetVersion}},
		Operations:    []protocol.Operation{{Put: storage.KeyScalingTarget, Value: storage.Encode(record)}},
	}, func(uint64, error) {
		w.call.FinishAndDelayUntil(w.now() + targetInterval)
	})
}

// scalingTarget counts the machines to retain and names the draining ones, up to
// maxDrainingNamed.
func scalingTarget(term uint64, supplies []*autoscaler.Supply) storage.ScalingTargetRecord {
	record := storage.ScalingTargetRecord{Term: term}
	for _, supply := range supplies {
		switch {
		case supply.Machine == nil || supply.Machine.Phase != storage.PhaseDraining:
			record.Target++
		case len(record.Draining) < maxDrainingNamed:
			record.Draining = append(record.Draining, supply.Machine.Name)
		}
	}
	return record
}

func sameTarget(a, b *storage.ScalingTargetRecord) bool {
	return a.Term == b.Term && a.Target == b.Target && slices.Equal(a.Draining, b.Draining)
}
