package scenario

import (
	"fmt"
	"math"
	"time"

	"rockrun/internal/storage"
)

// expectation checks one line of the expectations and says what is not met, or
// nothing.
type expectation func(sim *simulation, line *statement) string

// expectations are the verbs of what must be true at the end of a scenario.
var expectations = map[string]expectation{
	// Jobs
	"accepted":                expectAccepted,
	"status":                  expectStatus,
	"done":                    expectDone,
	"cancelled":               expectCancelled,
	"cancelled-by-dependency": expectCancelledByDependency,
	"running":                 expectRunning,
	"released":                expectReleased,
	"released-all":            expectReleasedAll,
	"all-served":              expectAllServed,
	"served":                  expectServed,

	// The cluster
	"machines":         expectMachines,
	"machine-deleted":  expectMachineDeleted,
	"job-shards-apart": expectJobShardsApart,

	// The scenario itself
	"overlap":  expectOverlap,
	"violates": expectViolates,

	// Counts, with least= and most=
	"starts":                    counted(func(sim *simulation) int { return sim.checker.starts }),
	"starts-after-cancellation": counted(func(sim *simulation) int { return sim.checker.startsAfterCancellation }),
	"probes":                    counted(func(sim *simulation) int { return sim.users.probeAnswers }),
	"requests":                  counted(func(sim *simulation) int { return sim.store.requests }),
	"writes":                    counted(func(sim *simulation) int { return sim.store.writes }),
	"grants":                    counted(func(sim *simulation) int { return sim.store.grantWrites }),
	"final-reads":               counted(func(sim *simulation) int { return sim.store.finalReads }),
	"records":                   counted(func(sim *simulation) int { return len(sim.store.keys(storage.Prefix)) }),
	"unfinished":                counted(func(sim *simulation) int { return len(sim.store.keys(storage.JobKey(""))) }),
	"rejected":                  counted(func(sim *simulation) int { return sim.store.rejected }),
	"oversized":                 counted(func(sim *simulation) int { return sim.store.oversized() }),
	"inherited-oversized":       counted(func(sim *simulation) int { return sim.store.oversizedOnLimitChange }),
	"cloud-calls":               counted(func(sim *simulation) int { return sim.cloud.calls }),
	"machines-created":          counted(func(sim *simulation) int { return len(sim.cloud.machines) }),
}

// counted expects a count within the bounds of a line: "starts least=12 most=12".
func counted(count func(*simulation) int) expectation {
	return func(sim *simulation, line *statement) string { return line.bounds(count(sim)) }
}

// bounds says whether a count is outside of a line's least= and most=.
func (line *statement) bounds(count int) string {
	if n := float64(count); n > line.number("most", math.Inf(1)) || n < line.number("least", 0) {
		return fmt.Sprintf("there were %d", count)
	}
	return ""
}

// exceeds says whether something took longer than a line allows with within=.
func exceeds(line *statement, took time.Duration) string {
	if limit := line.text("within", ""); limit != "" && took > line.duration(limit) {
		return fmt.Sprintf("it took %s", took)
	}
	return ""
}
