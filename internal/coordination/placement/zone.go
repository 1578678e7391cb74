package placement

import (
	"time"
)

// maxBootWait limits how long a one-zone job waits for machines that are booting in a better
// zone. Some machines never come up, and the cloud reports that much later.
const maxBootWait = 45 * time.Second

// zoneCapacity counts the tasks of a job that fit into a zone.
type zoneCapacity struct {
	withBooting int // on schedulable and booting machines
	schedulable int // on schedulable machines only
}

// chooseZone picks the zone for the first task of a one-zone job: a zone in which all
// remaining tasks fit now, or else the zone with the most capacity including booting
// machines. Without this choice, the first free machine in any zone would decide, and
// machines created for the job in another zone would boot in vain. chooseZone returns
// found = false if no machine can run a task of the job.
func (r *Round[M]) chooseZone(pending *Candidate) (best int, found bool) {
	capacities := map[int]zoneCapacity{}
	waitingTime := time.Duration(r.config.Wall.UnixMilli()-pending.Job.ReadyAtMS()) * time.Millisecond
	remaining := r.config.Jobs.State(pending.Job).Remaining
	for _, machine := range r.config.Fleet.Machines() {
		if !r.config.Fleet.Eligible(machine, pending.Job) {
			continue
		}
		booting := waitingTime < maxBootWait && r.config.Fleet.Booting(machine)
		if !booting && !r.config.Fleet.Schedulable(machine) {
			continue
		}
		zone := r.config.Fleet.Zone(machine)
		capacity, count := capacities[zone], r.config.Fleet.Free(machine).Count(pending.Job)
		capacity.withBooting += count
		if !booting {
			capacity.schedulable += count
		}
		capacities[zone] = capacity
		if capacity.schedulable >= remaining {
			return zone, true
		}
		if !found || capacity.withBooting > capacities[best].withBooting || capacity.withBooting == capacities[best].withBooting && zone < best {
			best, found = zone, true
		}
	}
	return best, found && capacities[best].withBooting > 0
}
