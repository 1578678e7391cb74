package provisioning

import (
	"log/slog"
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/kv"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/coordination/replica"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// Cloud creates, lists and deletes machines. Every call returns at once; done is called later
// on the controller's goroutine. Errors wrap those of package protocol.
type Cloud interface {
	// MachineTypes reads the catalogue of machine types that the cloud offers.
	MachineTypes(done func(protocol.MachineTypeCatalogue, error))
	// CreateMachines creates machines and returns their names, fewer than requested if the
	// cloud has no more. It is idempotent: repeating a request under the same name creates
	// no further machines.
	CreateMachines(r protocol.CreateMachinesRequest, done func([]string, error))
	// DeleteMachines deletes machines. It is idempotent.
	DeleteMachines(names []string, done func(error))
	// ListMachines lists all machines in the order of their creation. The list lags, so
	// absence of a machine does not prove that it is gone.
	ListMachines(done func([]protocol.CloudMachine, error))
}

// Leadership is the leadership under which a Provisioner acts.
type Leadership interface {
	// Term returns the leader's term.
	Term() uint64
	// Precondition returns the precondition that this leadership is still in force.
	Precondition() protocol.Precondition
	// NextFencingToken returns a fencing token higher than all earlier ones.
	NextFencingToken() uint64
	// Current reports whether this controller still leads under this term.
	Current() bool
}

// Members provides the state of machines as their holders see it.
type Members interface {
	// MachineStatus returns the latest status of a machine from its holder.
	MachineStatus(m *storage.Machine) (status protocol.MachineStatus, known bool)
	// HeartbeatTolerance returns the longest silence expected of a healthy agent.
	HeartbeatTolerance() time.Duration
	// RemoveMachineStatus discards the last seen status of a machine.
	RemoveMachineStatus(name string)
}

// Config holds the dependencies and settings of a Provisioner.
type Config struct {
	Generation *loop.Generation
	Replica    *replica.Replica
	Committer  *kv.Committer
	Leadership Leadership
	Members    Members
	Cloud      Cloud
	Cluster    *config.Cluster
	Options    config.Options
	Log        *slog.Logger
}

func (c *Config) now() time.Duration { return c.Generation.Now() }

// wallMS returns the wall-clock time in Unix milliseconds.
func (c *Config) wallMS() int64 { return c.Generation.Wall().UnixMilli() }

func (c *Config) view() *storage.View { return c.Replica.View }

// findRecorded returns the machine with the given name if a group contains it, else nil.
func (c *Config) findRecorded(name string) *storage.Machine {
	if _, m := c.view().Machines.Find(name); m != nil && m.Group != "" {
		return m
	}
	return nil
}
