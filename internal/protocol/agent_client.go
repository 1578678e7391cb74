package protocol

import (
	"net/http"
	"time"
)

// AgentClient sends commands directly to agents.
type AgentClient struct {
	HTTP    Caller
	Timeout time.Duration
}

// Execute sends commands to the agent at an address, which executes them immediately and
// answers with a heartbeat. If executed is false and there is no error, the agent has rejected
// the commands because of their fencing token or epoch. Errors match ErrOutcomeUnknown,
// ErrMalformed (the answer is not a heartbeat, so the outcome is unknown as well) or the kind
// of a RefusedError.
func (c *AgentClient) Execute(addr string, request CommandRequest) (heartbeat *AgentHeartbeat, executed bool, err error) {
	if request.Commands == nil {
		request.Commands = []Command{}
	}
	agent := endpoint{http: c.HTTP, addr: addr, timeout: c.Timeout}
	status, answer, err := agent.send(http.MethodPost, "/commands", request, nil)
	switch {
	case err != nil:
		return nil, false, err
	case status != http.StatusOK && status != http.StatusConflict:
		return nil, false, newRefusedError("commands", status, answer)
	}
	heartbeat, err = ParseAgentHeartbeat(answer)
	return heartbeat, status == http.StatusOK, err
}
