package coordination

import (
	"time"

	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

// listEvery is the pause between two lists where a list takes few calls.
const minListInterval = 3 * time.Second

// listShare is the part of the calls that the cloud allows which lists take at most.
const listCallShare = 0.5

// listPause is the pause after a list of so many machines: a list of thousands takes
// many calls, and rentals and returns need theirs.
func listPause(machines int, callsPerSecond float64) time.Duration {
	calls := float64(machines/protocol.MachinesPerCall + 1)
	return max(minListInterval, seconds(calls/(listCallShare*callsPerSecond)))
}

// list compares the cloud's list with the records: unexpected machines are
// taken up, failed ones are given back. Absence from a list proves nothing.
func (f *provisioner) listMachines(now time.Duration) {
	n := f.leadership.controller
	if f.listInFlight || now < f.nextListAt {
		return
	}
	f.listInFlight = true
	n.Cloud.ListMachines(func(list []protocol.CloudMachine, err error) {
		f.listInFlight = false
		f.nextListAt = n.now() + listPause(len(list), n.Settings.Cluster.Cloud.RequestsPerSecond)
		if !f.current() {
			return
		}
		if err != nil {
			n.Log.Debug("machines not listed", "err", err)
			f.nextListAt = n.now() + n.generation.Jitter(time.Second)
			return
		}
		listed := f.adoptListed(list)
		f.noteUnlisted(list, listed)
		f.noteForgettable(listed)
	})
}

// takeUpListed compares what is listed with the records, and returns the names.
func (f *provisioner) adoptListed(list []protocol.CloudMachine) (listed map[string]bool) {
	n := f.leadership.controller
	listed = make(map[string]bool, len(list))
	f.failed = map[string]bool{}
	for i := range list {
		c := &list[i]
		listed[c.Name] = true
		_, m := n.view.Machines.Find(c.Name)
		if m == nil || m.Group == "" {
			at := n.Clock.Wall().UnixMilli() - int64(c.AgeSeconds*1000)
			f.adoptMachine(c.Name, unrecordedMachine{c.Address, c.Type, c.Zone, c.Spot, at})
			continue
		}
		if c.Stage == protocol.MachineFailed {
			f.failed[c.Name] = true
		}
		if m.Address == "" && c.Address != "" {
			f.addresses[c.Name] = c.Address
		}
	}
	return listed
}

// noteUnlisted notes machines that the list should name and doesn't. Machines are listed
// in the order in which they were made, and stay listed until they are gone: a list
// that has a later one knows them.
func (f *provisioner) noteUnlisted(list []protocol.CloudMachine, listed map[string]bool) {
	n := f.leadership.controller
	clear(f.unlisted)
	if len(list) == 0 {
		return
	}
	last := list[len(list)-1].Name
	n.view.Machines.All(func(_ int, m *storage.Machine) {
		if m.Exists() && m.Name < last && len(m.Name) == len(last) && !listed[m.Name] && f.leadership.machineAge(m) > seconds(4*n.Settings.Cluster.Cloud.ListLagSeconds) {
			f.unlisted[m.Name] = true
		}
	})
}

// noteForgettable notes machines whose records can go: a record of a machine that is
// gone is kept until no list can name it.
func (f *provisioner) noteForgettable(listed map[string]bool) {
	n := f.leadership.controller
	keep := max(10*time.Minute, seconds(20*n.Settings.Cluster.Cloud.ListLagSeconds))
	nowMS := n.Clock.Wall().UnixMilli()
	n.view.Machines.All(func(_ int, m *storage.Machine) {
		if m.Group != "" && m.Phase == storage.PhaseDeleted && !listed[m.Name] && time.Duration(nowMS-m.DeletedAtMS)*time.Millisecond > keep {
			f.forgettable[m.Name] = true
		}
	})
}
