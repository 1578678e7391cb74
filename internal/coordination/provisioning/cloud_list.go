package provisioning

import (
	"time"

	"rockrun/internal/config"
	"rockrun/internal/coordination/autoscaler"
	"rockrun/internal/coordination/loop"
	"rockrun/internal/protocol"
	"rockrun/internal/storage"
)

const (
	// minListInterval is the minimum delay between two list requests.
	minListInterval = 3 * time.Second
	// listCallShare is the maximum share of the cloud's request rate that lists may use.
	listCallShare = 0.5
	// listRetryDelay is the minimum delay after a failed list request.
	listRetryDelay = time.Second
	// unlistedGraceLags is the age, in multiples of the list's lag, from which the list
	// should contain a machine.
	unlistedGraceLags = 4
	// The record of a deleted machine is retained for deletedRetentionLags multiples of the
	// list's lag, and for at least minDeletedRetention. After that no list can contain the
	// machine.
	deletedRetentionLags = 20
	minDeletedRetention  = 10 * time.Minute
)

// listInterval returns the delay after a list of the given number of machines. A list of
// thousands of machines takes many calls, and the cloud's request rate must also serve
// creations and deletions.
func listInterval(machines int, callsPerSecond float64) time.Duration {
	calls := float64(machines/protocol.MachinesPerCall + 1)
	return max(minListInterval, config.Seconds(calls/(listCallShare*callsPerSecond)))
}

// cloudList compares the cloud's list of machines with the records: it adopts machines without
// a record and detects failed ones. Absence from a list alone does not prove that a machine
// is gone.
type cloudList struct {
	*Config
	adoptions *adoptions
	call      loop.Call

	failed         map[string]bool   // machines marked as failed in the last list
	unlisted       map[string]bool   // machines missing from the last list that it should contain
	addresses      map[string]string // addresses missing from the records
	expiredRecords map[string]bool   // deleted machines that no list can contain any more
}

func newCloudList(c *Config, a *adoptions) *cloudList {
	return &cloudList{Config: c, adoptions: a, unlisted: map[string]bool{}, addresses: map[string]string{}, expiredRecords: map[string]bool{}}
}

// refresh requests the list of machines when it is due.
func (l *cloudList) refresh(now time.Duration) {
	if l.call.TryBegin(now) {
		l.Cloud.ListMachines(l.onListed)
	}
}

func (l *cloudList) onListed(list []protocol.CloudMachine, err error) {
	l.call.FinishAndDelayUntil(l.now() + listInterval(len(list), l.Cluster.Cloud.RequestsPerSecond))
	if !l.Leadership.Current() {
		return
	}
	if err != nil {
		l.Log.Debug("machine list request failed", "err", err)
		l.call.DelayUntil(l.now() + l.Generation.Jitter(listRetryDelay))
		return
	}
	listed := l.compare(list)
	l.findUnlisted(list, listed)
	l.findExpiredRecords(listed)
}

// compare adopts listed machines without a record, notes failed ones and addresses that the
// records lack, and returns the listed names.
func (l *cloudList) compare(list []protocol.CloudMachine) (listed map[string]bool) {
	listed = make(map[string]bool, len(list))
	l.failed = map[string]bool{}
	for i := range list {
		found := &list[i]
		listed[found.Name] = true
		machine := l.findRecorded(found.Name)
		if machine == nil {
			createdAtMS := l.wallMS() - int64(found.AgeSeconds*1000)
			l.adoptions.adopt(found.Name, unrecordedMachine{found.Address, found.Type, found.Zone, found.Spot, createdAtMS})
			continue
		}
		if found.Stage == protocol.MachineFailed {
			l.failed[found.Name] = true
		}
		if machine.Address == "" && found.Address != "" {
			l.addresses[found.Name] = found.Address
		}
	}
	return listed
}

// findUnlisted notes recorded machines that are missing from a list that should contain them.
// The cloud lists machines in the order of their creation and stops listing a machine only
// when it is gone, so a list that contains a newer machine must also contain all older machines
// that still exist. Machine names of equal length sort in the order of creation.
func (l *cloudList) findUnlisted(list []protocol.CloudMachine, listed map[string]bool) {
	clear(l.unlisted)
	if len(list) == 0 {
		return
	}
	newest := list[len(list)-1].Name
	now := l.Generation.Wall()
	oldEnough := config.Seconds(unlistedGraceLags * l.Cluster.Cloud.ListLagSeconds)
	l.view().Machines.All(func(_ int, m *storage.Machine) {
		createdBefore := m.Name < newest && len(m.Name) == len(newest)
		if m.Exists() && createdBefore && !listed[m.Name] && autoscaler.MachineAge(m, now) > oldEnough {
			l.unlisted[m.Name] = true
		}
	})
}

// findExpiredRecords notes deleted machines whose records can be removed.
func (l *cloudList) findExpiredRecords(listed map[string]bool) {
	retention := max(minDeletedRetention, config.Seconds(deletedRetentionLags*l.Cluster.Cloud.ListLagSeconds))
	nowMS := l.wallMS()
	l.view().Machines.All(func(_ int, m *storage.Machine) {
		if m.Deleted() && !listed[m.Name] && time.Duration(nowMS-m.DeletedAtMS)*time.Millisecond > retention {
			l.expiredRecords[m.Name] = true
		}
	})
}
