package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

// TestRandomFaults plays days of faults drawn from fixed seeds. Nothing is
// expected of them but that the rules hold and, as no fault comes in the last minutes,
// that every accepted array completes.
func TestRandomFaults(t *testing.T) {
	world := worldOf(t, "testdata/quiet_day.txtar")
	// The first four once found tasks on machines outside their job shard's shards, the
	// others a cancelled job left out of the quota, a share rounded down, and tasks
	// that take whole machines waiting for those that replicas never leave.
	seeds := []uint64{102, 220, 248, 252, 343, 422, 1123, 1181}
	for seed := uint64(1); seed <= 25; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			world := slices.Clone(world)
			if seed%2 == 0 {
				world = append(world, "job-shards n=2\n"...)
			}
			day := &dayWriter{rand: rand.New(rand.NewPCG(seed, 1))}
			day.drawFaultyDay()
			day.play(t, world, seed)
		})
	}
}

// worldOf is the world of a scenario.
func worldOf(t *testing.T, file string) []byte {
	t.Helper()
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	i := slices.IndexFunc(archive.Files, func(f txtar.File) bool { return f.Name == fileWorld })
	if i < 0 {
		t.Fatalf("%s has no world", file)
	}
	return archive.Files[i].Data
}

// drawFaultyDay draws jobs and faults, of which the last is over after 285 s.
func (d *dayWriter) drawFaultyDay() {
	d.drawJobs()
	d.add(0, "store-lost-answers share=0.0%d late=0.5", d.rand.IntN(9))
	d.add(0, "duplicate-commands share=0.%d", d.rand.IntN(6))
	for range 10 {
		d.drawFault()
	}
	// Of these each day has a few; they come last so that the days above stay the
	// ones that once found something.
	for range 3 {
		d.drawLongFault()
	}
	const over = 285 * time.Second
	for _, end := range []string{"heal a all", "heal b all", "heal c all", "start all", "store-lost-answers share=0"} {
		d.add(over, end)
	}
	d.add(700*time.Second, "end")
}

// drawnArray is an array that nobody cancels.
type drawnArray struct {
	id, cpus int
	team     string
}

// drawJobs draws the jobs of a day, and expects the arrays to be done that have room beside
// the services.
func (d *dayWriter) drawJobs() {
	services := map[string]int{} // CPUs of each team's services that nobody cancels
	var arrays []drawnArray
	for id := 1; id <= 25; id++ {
		at := 1 + d.rand.IntN(200)
		team := d.oneOf("red", "blue")
		if d.rand.IntN(4) == 0 {
			services[team] += d.drawService(id, at, team)
		} else if array, kept := d.drawArray(id, at, team); kept {
			arrays = append(arrays, array)
		}
	}
	maxCPUs := map[string]int{"red": 32, "blue": 16}
	for _, array := range arrays {
		if services[array.team]+array.cpus <= maxCPUs[array.team] {
			d.expect = fmt.Appendf(d.expect, "done run-%d\n", array.id)
		}
	}
}

// drawService draws a service and returns the CPUs that it keeps, none if it is cancelled.
func (d *dayWriter) drawService(id, at int, team string) int {
	tasks := 1 + d.rand.IntN(3)
	d.add(seconds(at), "submit run-%d team=%s kind=service priority=critical tasks=%d cpus=1 spread=1 image-gb=%d",
		id, team, tasks, d.rand.IntN(3))
	if d.rand.IntN(2) == 0 {
		d.add(seconds(at+d.rand.IntN(120)), "cancel run-%d", id)
		return 0
	}
	return tasks
}

// drawArray draws an array and reports whether nobody cancels it.
func (d *dayWriter) drawArray(id, at int, team string) (array drawnArray, kept bool) {
	tasks, cpus := 1+d.rand.IntN(8), 1+d.rand.IntN(4)
	d.add(seconds(at), "submit run-%d team=%s tasks=%d cpus=%d run=%d image-gb=%d spot=1 checkpoint=%d save=1 repeats=%d",
		id, team, tasks, cpus, 1+d.rand.IntN(30), d.rand.IntN(4), 5*d.rand.IntN(2), d.rand.IntN(3))
	if d.rand.IntN(5) == 0 {
		d.add(seconds(at+d.rand.IntN(40)), "cancel run-%d", id)
		return drawnArray{}, false
	}
	return drawnArray{id: id, cpus: cpus, team: team}, true
}

// drawFault draws one fault and its end.
func (d *dayWriter) drawFault() {
	at := seconds(10 + d.rand.IntN(220))
	controller := d.oneOf("a", "b", "c")
	machine := fmt.Sprintf("m-%06d", d.rand.IntN(12))
	switch d.rand.IntN(9) {
	case 0:
		d.add(at, "crash %s", controller)
		d.add(at+200*time.Millisecond+d.millisecondsBelow(9000), "start %s", controller)
	case 1:
		d.add(at, "crash all")
		d.add(at+seconds(3), "start all")
	case 2:
		part := d.oneOf(partAll, partStore, partPeers, partAgents)
		d.add(at, "partition %s %s", controller, part)
		d.add(at+seconds(5)+d.secondsBelow(50), "heal %s %s", controller, part)
	case 3:
		d.add(at, "store-outage %ds", 5+d.rand.IntN(30))
	case 4:
		d.add(at, "machine-crash %s", machine)
	case 5, 6:
		d.add(at, "machine-partition %s %ds", machine, 5+d.rand.IntN(50))
	case 7:
		d.add(at, "reclaim %s notice=%ds", machine, d.rand.IntN(10))
	case 8:
		d.add(at, "machine-slow %s factor=3", machine)
	}
}

// drawLongFault draws one fault that may last for longer than leases, or meets many.
func (d *dayWriter) drawLongFault() {
	at := seconds(10 + d.rand.IntN(220))
	controller := d.oneOf("a", "b", "c")
	switch d.rand.IntN(4) {
	case 0:
		d.add(at, "pause %s %ds", controller, 1+d.rand.IntN(60))
	case 1:
		d.add(at, "machine-pause some %ds share=0.%d", 2+d.rand.IntN(60), 1+d.rand.IntN(9))
	case 2:
		d.add(at, "partition all peers")
		d.add(at+seconds(5)+d.secondsBelow(50), "heal all peers")
	case 3:
		d.add(at, "machine-partition some %ds zone=%s", 5+d.rand.IntN(60), d.oneOf("north", "south"))
	}
}
