package protocol

import (
	"net/http"
	"time"
)

// AgentClient sends commands straight to agents.
type AgentClient struct {
	HTTP    Caller
	Timeout time.Duration
}

// Execute has the agent at an address carry out commands at once. Without an error the
// heartbeat tells what is on the machine; done is false when the agent refused the commands
// because of their fencing token or epoch. Errors match ErrOutcomeUnknown, ErrMalformed (the
// answer is no heartbeat: the outcome is unknown then as well) or the kind of a RefusedError.
func (c *AgentClient) Execute(addr string, request CommandRequest) (heartbeat *AgentHeartbeat, done bool, err error) {
	if request.Commands == nil {
		request.Commands = []Command{}
	}
	agent := endpoint{http: c.HTTP, addr: addr, timeout: c.Timeout}
	status, answer, err := agent.send(http.MethodPost, "/commands", request, nil)
	switch {
	case err != nil:
		return nil, false, err
	case status != http.StatusOK && status != http.StatusConflict:
		return nil, false, refused("commands", status, answer)
	}
	heartbeat, err = ParseAgentHeartbeat(answer)
	return heartbeat, status == http.StatusOK, err
}
