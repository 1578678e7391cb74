package scenario

import (
	"fmt"
	"math"
	"time"

	"rockrun/internal/storage"
)

// expectation checks one line of the expect file. It returns a message if the expectation is not
// met, else "".
type expectation func(sim *simulation, line *statement) string

// expectations maps the verbs of the expect file to the functions that check them at the end of a
// scenario.
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

	// Cluster
	"machines":         expectMachines,
	"machine-deleted":  expectMachineDeleted,
	"job-shards-apart": expectJobShardsApart,
	"relieved":         expectRelieved,

	// Faults and violations
	"overlap":  expectOverlap,
	"violates": expectViolates,

	// Counts, bounded by least= and most=
	"starts":                    expectCount(func(sim *simulation) int { return sim.checker.starts }),
	"starts-after-cancellation": expectCount(func(sim *simulation) int { return sim.checker.startsAfterCancellation }),
	"probes":                    expectCount(func(sim *simulation) int { return sim.users.probeAnswers }),
	"requests":                  expectCount(func(sim *simulation) int { return sim.store.requests }),
	"writes":                    expectCount(func(sim *simulation) int { return sim.store.writes }),
	"grants":                    expectCount(func(sim *simulation) int { return sim.store.grantWrites }),
	"final-reads":               expectCount(func(sim *simulation) int { return sim.store.finalReads }),
	"records":                   expectCount(func(sim *simulation) int { return len(sim.store.keys(storage.Prefix)) }),
	"unfinished":                expectCount(func(sim *simulation) int { return len(sim.store.keys(storage.JobKey(""))) }),
	"rejected":                  expectCount(func(sim *simulation) int { return sim.store.rejected }),
	"oversized":                 expectCount(func(sim *simulation) int { return sim.store.oversized() }),
	"inherited-oversized":       expectCount(func(sim *simulation) int { return sim.store.oversizedOnLimitChange }),
	"cloud-calls":               expectCount(func(sim *simulation) int { return sim.cloud.calls }),
	"machines-created":          expectCount(func(sim *simulation) int { return len(sim.cloud.machines) }),
}

// expectCount returns an expectation that a count is within the bounds of a line:
// "starts least=12 most=12".
func expectCount(count func(*simulation) int) expectation {
	return func(sim *simulation, line *statement) string { return line.checkBounds(count(sim)) }
}

// checkBounds checks that a count is within a line's least= and most=. It returns a message if the
// count is outside, else "".
func (line *statement) checkBounds(count int) string {
	if n := float64(count); n > line.number("most", math.Inf(1)) || n < line.number("least", 0) {
		return fmt.Sprintf("the count is %d", count)
	}
	return ""
}

// checkWithin checks an elapsed time against the line's within=, if there is one. It returns a
// message if the limit is exceeded, else "".
func checkWithin(line *statement, elapsed time.Duration) string {
	if limit := line.text("within", ""); limit != "" && elapsed > line.duration(limit) {
		return fmt.Sprintf("it took %s", elapsed)
	}
	return ""
}
