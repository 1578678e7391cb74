package scenario

import "encoding/json"

const (
	// maxMessageBytes is the protocol's limit on a request body and on a line of an answer.
	maxMessageBytes = 64 << 10
	// maxElementBytes bounds the size of one element of the lists in messages to and from agents.
	// Messages with so few elements that they are within the limit are not measured.
	maxElementBytes = 200
)

// dropsOversized reports whether a message to or from the agent with a list of the given length
// exceeds the limit, and records the violation. An agent drops such a message.
func (a *fakeAgent) dropsOversized(kind string, elements int, message any) bool {
	if elements*maxElementBytes <= maxMessageBytes {
		return false
	}
	body, err := json.Marshal(message)
	if err != nil || len(body) <= maxMessageBytes {
		return false
	}
	a.sim.checker.recordViolation(ruleMessageTooLong, "%s of %s has %d bytes", kind, a.machine.Name, len(body))
	return true
}
