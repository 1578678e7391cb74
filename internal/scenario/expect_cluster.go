package scenario

import (
	"slices"
	"strings"
)

// expectMachines: "machines kind=spot most=2" counts the machines that are not deleted.
func expectMachines(sim *simulation, line *statement) string {
	kind := line.text("kind", "")
	count := 0
	for _, machine := range sim.cloud.machines {
		if !machine.deleted && (kind == "" || machine.Spot == (kind == kindSpot)) {
			count++
		}
	}
	return line.checkBounds(count)
}

// expectMachineDeleted: "machine-deleted m-000000".
func expectMachineDeleted(sim *simulation, line *statement) string {
	if machine := sim.cloud.findMachine(line.arg(0)); machine == nil || !machine.deleted {
		return "the machine does not exist or is not deleted"
	}
	return ""
}

// expectJobShardsApart: "job-shards-apart", no controller holds both job shards.
func expectJobShardsApart(sim *simulation, _ *statement) string {
	if first := sim.resolveHost(holderPrefix + "0"); first == sim.resolveHost(holderPrefix+"1") {
		return first.name + " holds both job shards"
	}
	return ""
}

// expectOverlap: "overlap pause store-outage", the two faults overlapped at least once.
func expectOverlap(sim *simulation, line *statement) string {
	if sim.faults.overlaps(line.arg(0), line.arg(1)) == 0 {
		return "the faults never overlapped"
	}
	return ""
}

// expectViolates: "violates quota", the checker reported a violation of the rule. Only scenarios
// that test the checker use it.
func expectViolates(sim *simulation, line *statement) string {
	violated := line.arg(0)
	if !slices.ContainsFunc(sim.checker.violations, func(violation string) bool { return strings.HasPrefix(violation, violated) }) {
		return "the checker did not report it"
	}
	return ""
}
