package main

import (
	"encoding/gob"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// viewRecords implements records with the replicated view.
type viewRecords struct{ view *storage.View }

func newRecords() records {
	teams := []storage.Team{
		{Name: "red", GuaranteedCPUs: 64, MaxCPUs: 128},
		{Name: "blue", GuaranteedCPUs: 32, MaxCPUs: 64},
	}
	return viewRecords{storage.NewView(teams, maxShards)}
}

func (r viewRecords) apply(key string, value json.RawMessage, version uint64) error {
	return r.view.Apply(key, value, version)
}

func (viewRecords) final(value json.RawMessage) string {
	record, err := storage.DecodeFinal(value)
	return fmt.Sprintln(record.Stage, record.CompletedTasks, err)
}

func (r viewRecords) lines() (cluster, jobs, machines []string) {
	return r.cluster(), r.jobs(), r.machines()
}

func (r viewRecords) cluster() []string {
	view := r.view
	lines := []string{fmt.Sprintln("homes", view.JobShards, "leader", view.Leader, "term", view.Term, "target", view.ScalingTarget)}
	for i := range view.Teams {
		lines = append(lines, fmt.Sprintln("team", view.Teams[i].Name, view.Teams[i].QuotaSplit))
	}
	for i := range view.Grants {
		lines = append(lines, fmt.Sprintln("grant", i, view.Grants[i]))
	}
	for i := range view.MachineTypes {
		lines = append(lines, fmt.Sprintln("type", view.MachineTypes[i]))
	}
	for _, controller := range slices.Sorted(maps.Keys(view.Liveness)) {
		lines = append(lines, fmt.Sprintln("liveness", controller, view.Liveness[controller]))
	}
	return lines
}

func (r viewRecords) jobs() (lines []string) {
	r.view.Jobs.All(func(_ int, j *storage.Job) {
		if isPlaceholder(j) {
			return
		}
		lines = append(lines, fmt.Sprintln("job", j.ID, j.Class, j.Team, j.Kind, j.Priority, j.Tasks, j.CPUs, j.GPUs, j.MemoryGB,
			j.Image, j.ImageGB, j.Types, j.Zone, j.OneZone, j.Spread, j.Spot, j.EstimateSeconds, j.CheckpointSeconds, j.SaveSeconds,
			j.DeadlineSeconds, j.Version, j.SubmittedAtMS, j.Shard, j.Completed, j.CompletedCount, j.UnplacedTasks(), j.RunningTasks()))
	})
	return lines
}

// isPlaceholder reports whether a row has no job record, no intent and no completed task. This
// version retains such rows for jobs that others depend on; the version in production does not
// know dependencies. Omitting these rows hides no difference: a job that only one version has
// is still printed by that version.
func isPlaceholder(j *storage.Job) bool {
	return j.Ended() && len(j.IntentCounts) == 0 && j.CompletedCount == 0
}

func (r viewRecords) machines() (lines []string) {
	r.view.Machines.All(func(_ int, m *storage.Machine) {
		var intents []string
		for task, intent := range m.Intents {
			intents = append(intents, fmt.Sprint(r.view.Jobs.Get(task.Job).ID, "/", task.Task, "#", intent.Attempt, "@", intent.Page))
		}
		slices.Sort(intents)
		lines = append(lines, fmt.Sprintln("machine", m.Name, m.Group, m.Address, m.Type, m.Zone, m.Spot, m.Shard, m.FencingToken,
			m.Phase, m.DrainStamp, m.Evict, m.CreatedAtMS, m.DeletedAtMS, intents))
	})
	return lines
}

// decodeRequest decodes a request and converts it to the program's type and back, so that the
// result lacks every field that the conversion loses.
func decodeRequest(decoder *gob.Decoder) ([]byte, error) {
	var wire protocol.PeerRequestWire
	if err := decoder.Decode(&wire); err != nil {
		return nil, err
	}
	return sortedJSON(wire.Request().Wire())
}

func decodeAnswer(decoder *gob.Decoder) ([]byte, error) {
	var wire protocol.PeerAnswerWire
	if err := decoder.Decode(&wire); err != nil {
		return nil, err
	}
	return sortedJSON(wire.Answer().Wire())
}
