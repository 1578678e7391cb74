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

// Leases are the shard leases of this controller.
type Leases interface {
	// Holds reports whether the view grants a shard to this incarnation.
	Holds(shard int) bool
	// MayActFor reports whether this controller may act for a shard now.
	MayActFor(shard int) bool
	// NoteAgentHeard takes in that an agent of a shard was heard.
	NoteAgentHeard(shard int)
}

// Agents carries commands to agents.
type Agents interface {
	// Execute sends commands to the agent at an address. done is called later on the
	// controller's goroutine, with the agent's heartbeat and whether it has carried out
	// the commands.
	Execute(address string, r protocol.CommandRequest, done func(h *protocol.AgentHeartbeat, executed bool, err error))
}

// Outcomes is told how jobs have ended.
type Outcomes interface {
	// Remember takes in that the final record of a job is durable.
	Remember(job string, final storage.FinalRecord)
}

// Config is all that a Reconciler is made of.
type Config struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	View       *storage.View
	Committer  *kv.Committer
	Leases     Leases
	Agents     Agents
	Outcomes   Outcomes
	Log        *slog.Logger
	// AgentSettings are the intervals that agents keep to.
	AgentSettings config.Agents
	// Objectives are what operators promise for each class of jobs.
	Objectives []config.Objective
	// MaxStaleness is how old a holder's knowledge of cancellations may be while it
	// renews agents' leases.
	MaxStaleness time.Duration
	// MaxAttempts is how many attempt numbers are used under one grant; 0: as many as there
	// are. See AttemptsExhausted.
	MaxAttempts uint64
	// EndOfPass is called at the end of every pass.
	EndOfPass func()
}

// maxAttempts is how far the counter of attempts may go. What is left of the numbers is
// more than can be used between two looks at AttemptsExhausted.
const maxAttempts = election.HolderSteps - 1<<16

func (c *Config) now() time.Duration { return c.Generation.Now() }
