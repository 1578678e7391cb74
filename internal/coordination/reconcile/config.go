package reconcile

import (
	"log/slog"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/election"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Leases provides the shard leases of this controller.
type Leases interface {
	// Holds reports whether the view grants a shard to this incarnation.
	Holds(shard int) bool
	// MayActFor reports whether this controller may act for a shard now.
	MayActFor(shard int) bool
	// RecordAgentContact records contact with an agent of a shard.
	RecordAgentContact(shard int)
}

// Agents sends commands to agents.
type Agents interface {
	// Execute sends commands to the agent at an address. It calls done later on the
	// controller's goroutine, with the agent's heartbeat and whether the agent executed
	// the commands.
	Execute(address string, request protocol.CommandRequest, done func(heartbeat *protocol.AgentHeartbeat, executed bool, err error))
}

// Outcomes records how jobs ended.
type Outcomes interface {
	// RecordOutcome records the outcome of a job whose final record is durable.
	RecordOutcome(job string, final storage.FinalRecord)
}

// Config holds the dependencies and settings of a Reconciler.
type Config struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	View       *storage.View
	Committer  *kv.Committer
	Leases     Leases
	Agents     Agents
	Outcomes   Outcomes
	Log        *slog.Logger
	// AgentSettings are the heartbeat interval, the lease and the cancellation timeout of
	// agents.
	AgentSettings config.Agents
	// Objectives are the service-level objectives of the job classes.
	Objectives []config.Objective
	// MaxStaleness is the maximum staleness of the view at which a holder still renews
	// agents' leases. A holder with a staler view may not know of recent cancellations.
	MaxStaleness time.Duration
	// MaxAttemptNumbers limits the attempt numbers used under one grant; 0 selects the default,
	// which is nearly all of them. See AttemptNumbersExhausted.
	MaxAttemptNumbers uint64
	// OnPassEnd is called at the end of every pass.
	OnPassEnd func()
	// OnCommandsDeferred is called with the number of commands that did not fit into a message
	// to an agent.
	OnCommandsDeferred func(commands int)
}

// defaultMaxAttemptNumbers is the default limit of the attempt counter. The numbers left above
// the limit are more than can be used between two checks of AttemptNumbersExhausted.
const defaultMaxAttemptNumbers = election.DerivedNumbersPerGrant - 1<<16

func (c *Config) now() time.Duration { return c.Generation.Now() }
