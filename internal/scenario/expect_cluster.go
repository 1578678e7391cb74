package scenario

import (
	"slices"
	"strings"
	"time"
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

// expectRelieved: "relieved a within=1s", another controller has answered agents, and controller a
// has answered no heartbeat that was sent later than that time after the other's first answer.
func expectRelieved(sim *simulation, line *statement) string {
	sim.validateHostName(line, line.arg(0))
	former := sim.resolveHost(line.arg(0))
	successorAt := time.Duration(0)
	for _, h := range sim.hosts {
		if h != former && h.firstAgentAnswerAt > 0 && (successorAt == 0 || h.firstAgentAnswerAt < successorAt) {
			successorAt = h.firstAgentAnswerAt
		}
	}
	if successorAt == 0 {
		return "no other controller has answered an agent"
	}
	return checkWithin(line, max(0, former.lastAgentHeartbeatAt-successorAt))
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
