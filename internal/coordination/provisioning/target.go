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
	// targetInterval is the least time between two writes of the scaling target.
	targetInterval = 5 * time.Second
	// maxDrainingNamed is how many draining machines the record names: a page of them is
	// enough for whoever reads it.
	maxDrainingNamed = 50
)

// targetWriter stores the size that the fleet is to have, with the term that set it and the
// machines that drain.
type targetWriter struct {
	*Config
	call loop.Call
}

// update writes the target where it has changed.
func (w *targetWriter) update(now time.Duration, supplies []*autoscaler.Supply) {
	record := scalingTarget(w.Leadership.Term(), supplies)
	if sameTarget(&w.view().ScalingTarget, &record) || !w.call.Ready(now) || !w.Committer.Budget.Take(now, 1) {
		return
	}
	w.call.Begin()
	w.Committer.Commit(protocol.Transaction{
		Conditions: []protocol.Condition{w.Leadership.Condition(), {Key: storage.KeyScalingTarget, Version: w.view().ScalingTargetVersion}},
		Operations: []protocol.Operation{{Put: storage.KeyScalingTarget, Value: storage.Encode(record)}},
	}, func(uint64, error) {
		w.call.Done(w.now() + targetInterval)
	})
}

// scalingTarget counts the machines that are to stay and names those that drain.
func scalingTarget(term uint64, supplies []*autoscaler.Supply) storage.ScalingTargetRecord {
	record := storage.ScalingTargetRecord{Term: term}
	for _, x := range supplies {
		switch {
		case x.Machine == nil || x.Machine.Phase != storage.PhaseDraining:
			record.Target++
		case len(record.Draining) < maxDrainingNamed:
			record.Draining = append(record.Draining, x.Machine.Name)
		}
	}
	return record
}

func sameTarget(a, b *storage.ScalingTargetRecord) bool {
	return a.Term == b.Term && a.Target == b.Target && slices.Equal(a.Draining, b.Draining)
}
