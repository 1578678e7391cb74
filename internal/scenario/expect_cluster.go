package scenario

import (
	"slices"
	"strings"
)

// expectMachines: "machines kind=spot most=2" counts those that are not deleted.
func expectMachines(sim *simulation, line *statement) string {
	kind := line.text("kind", "")
	count := 0
	for _, machine := range sim.cloud.machines {
		if !machine.deleted && (kind == "" || machine.Spot == (kind == kindSpot)) {
			count++
		}
	}
	return line.bounds(count)
}

// expectMachineDeleted: "machine-deleted m-000000".
func expectMachineDeleted(sim *simulation, line *statement) string {
	if machine := sim.cloud.findMachine(line.arg(0)); machine == nil || !machine.deleted {
		return "it is still there"
	}
	return ""
}

// expectJobShardsApart: no controller holds both job shards.
func expectJobShardsApart(sim *simulation, _ *statement) string {
	if first := sim.hostNow(holderPrefix + "0"); first == sim.hostNow(holderPrefix+"1") {
		return first.name + " holds both"
	}
	return ""
}

// expectOverlap: "overlap pause store-outage", two faults really overlapped.
func expectOverlap(sim *simulation, line *statement) string {
	if sim.faults.overlaps(line.arg(0), line.arg(1)) == 0 {
		return "they never did"
	}
	return ""
}

// expectViolates: "violates quota" is only for scenarios that show that the checker works.
func expectViolates(sim *simulation, line *statement) string {
	broken := line.arg(0)
	if !slices.ContainsFunc(sim.checker.violations, func(violation string) bool { return strings.HasPrefix(violation, broken) }) {
		return "the checker did not see it"
	}
	return ""
}
