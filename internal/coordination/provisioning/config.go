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

// Cloud rents out machines. Every call returns at once; done is called later on the
// controller's goroutine. Errors wrap those of package protocol.
type Cloud interface {
	// MachineTypes reads what can be rented.
	MachineTypes(done func(protocol.MachineTypeCatalogue, error))
	// CreateMachines rents machines and returns their names, fewer than asked for where
	// there are no more. Repeating a request with its name creates nothing anew.
	CreateMachines(r protocol.CreateMachinesRequest, done func([]string, error))
	// DeleteMachines gives machines back. Repeating it is harmless.
	DeleteMachines(names []string, done func(error))
	// ListMachines lists all machines in the order of their creation. The list lags: that
	// a machine is absent proves nothing.
	ListMachines(done func([]protocol.CloudMachine, error))
}

// Leadership is what a Provisioner needs of the leader whose it is.
type Leadership interface {
	// Term is the number of the leadership.
	Term() uint64
	// Condition makes a transaction depend on the leadership.
	Condition() protocol.Condition
	// NextFencingToken returns a fencing token above every earlier one.
	NextFencingToken() uint64
	// Current reports whether the leadership is still in office.
	Current() bool
}

// Members is what a Provisioner needs to know of the machines' holders.
type Members interface {
	// MachineStatus returns what the holder of a machine last said of it.
	MachineStatus(m *storage.Machine) (status protocol.MachineStatus, known bool)
	// HeartbeatTolerance is how long an agent that is well is silent at most.
	HeartbeatTolerance() time.Duration
	// ForgetMachine forgets what holders have said of a machine.
	ForgetMachine(name string)
}

// Config is all that a Provisioner is made of.
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

// wallMS is the time of day in milliseconds.
func (c *Config) wallMS() int64 { return c.Generation.Wall().UnixMilli() }

func (c *Config) view() *storage.View { return c.Replica.View }

// findRecorded returns a machine that a record names, or nil.
func (c *Config) findRecorded(name string) *storage.Machine {
	if _, m := c.view().Machines.Find(name); m != nil && m.Group != "" {
		return m
	}
	return nil
}
