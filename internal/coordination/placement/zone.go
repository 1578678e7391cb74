package placement

import (
	"time"
)

// gatherPatience is how long a job waits for machines that boot in a better zone: some
// never come up, and the cloud's word for that takes much longer.
const gatherPatience = 45 * time.Second

// zoneRoom is for how many tasks of a job a zone has room.
type zoneRoom struct {
	total int // machines that still boot included
	ready int // on machines that take tasks now
}

// gatheringZone is the zone to which the first task of a job goes whose tasks must share
// one: a zone that has room for them all now, or the one in which the machines held, those
// that still boot included, have most room. The first machine that is free anywhere would
// settle it otherwise, and what was rented for the job in another zone would come up for
// nothing. It is false where no machine can take any.
func (r *Round[M]) gatheringZone(waiting *Candidate) (best int, found bool) {
	rooms := map[int]zoneRoom{}
	waited := time.Duration(r.config.Wall.UnixMilli()-waiting.Job.ReadyAtMS()) * time.Millisecond
	remaining := r.config.Jobs.State(waiting.Job).Remaining
	for _, machine := range r.config.Fleet.Machines() {
		if !r.config.Fleet.Eligible(machine, waiting.Job) {
			continue
		}
		booting := waited < gatherPatience && r.config.Fleet.Booting(machine)
		if !booting && !r.config.Fleet.Schedulable(machine) {
			continue
		}
		zone := r.config.Fleet.Zone(machine)
		room, count := rooms[zone], r.config.Fleet.Free(machine).Count(waiting.Job)
		room.total += count
		if !booting {
			room.ready += count
		}
		rooms[zone] = room
		if room.ready >= remaining {
			return zone, true
		}
		if !found || room.total > rooms[best].total || room.total == rooms[best].total && zone < best {
			best, found = zone, true
		}
	}
	return best, found && rooms[best].total > 0
}
