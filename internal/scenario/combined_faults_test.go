package scenario

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// Number of random scenarios per test.
const (
	combinedRuns = 40
	pipelineRuns = 30
)

// TestRandomFaultsCombined runs scenarios with pairs of overlapping faults, drawn from fixed seeds.
// No rule may be violated, and after the last fault every job must be served and its polls
// answered.
func TestRandomFaultsCombined(t *testing.T) {
	for seed := uint64(1); seed <= combinedRuns; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			playCombinedFaults(t, seed, nil)
		})
	}
}

// TestRandomPipelines runs such scenarios with pipelines of every shape. In some pipelines a job
// is cancelled, and in some the last job is submitted only when the others have ended.
func TestRandomPipelines(t *testing.T) {
	for seed := uint64(1001); seed <= 1000+pipelineRuns; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			pipelines := &scenarioGenerator{rand: rand.New(rand.NewPCG(seed, 3))}
			pipelines.drawPipelines()
			playCombinedFaults(t, seed, pipelines.script)
		})
	}
}

// combinedWorld is the world file of the scenarios with combined faults.
const combinedWorld = `team red cpus=16 max=32
team blue cpus=8 max=16
machine-type small cpus=4 mem=32 price=0.4 spot=0.1 boot=5 fetch=1
machine-type large cpus=16 mem=128 price=1.5 spot=0.4 boot=5 fetch=1
capacity small north count=4
capacity small south count=4
capacity small north kind=spot count=4
capacity large south count=2
capacity large south kind=spot count=2
controller-zone a north
`

// playCombinedFaults draws a scenario from a seed, appends more lines to its script and runs it.
func playCombinedFaults(t *testing.T, seed uint64, more []byte) {
	t.Helper()
	generator := &scenarioGenerator{rand: rand.New(rand.NewPCG(seed, 2)), expect: []byte("all-served\nserved\n")}
	world := []byte(combinedWorld)
	if generator.rand.IntN(2) == 0 {
		world = append(world, "job-shards n=2\n"...)
	}
	if generator.rand.IntN(2) == 0 {
		world = append(world, "controllers 5\n"...)
	}
	generator.drawCombinedFaults()
	generator.script = append(generator.script, more...)
	generator.play(t, world, seed)
}

// drawPipelines draws the lines of a script that submit pipelines.
func (d *scenarioGenerator) drawPipelines() {
	r := d.rand
	for i := range 9 {
		d.add(seconds(1+r.IntN(200)), "pipeline run-%d shape=%s every=%dms count=%d team=%s tasks=%d cpus=%d run=%d image-gb=%d"+
			" cancelled=0.%d late=0.%d after=%ds repeats=%d priority=urgent spot=1",
			1000+100*i, d.oneOf("chain", "diamond", "fan-in", "fan-out", "ten"), 10+r.IntN(4000), 1+r.IntN(4), d.oneOf("red", "blue"),
			1+r.IntN(3), 1+r.IntN(2), 1+r.IntN(8), r.IntN(2), r.IntN(5), r.IntN(4), 1+r.IntN(60), r.IntN(2))
	}
	if r.IntN(2) == 0 {
		d.add(d.secondsBelow(100), "read-your-writes %ds cancelled=0.1", 20+r.IntN(100))
	}
}

// drawCombinedFaults draws jobs and pairs of faults. The two faults of a pair begin within three
// seconds of each other, and jobs may be cancelled during a pair.
func (d *scenarioGenerator) drawCombinedFaults() {
	d.drawCombinedJobs()
	for at := seconds(25 + d.rand.IntN(15)); at < seconds(200); at += seconds(45 + d.rand.IntN(40)) {
		for range 2 {
			d.drawOneOfPair(at)
		}
		d.drawCancellations(at)
	}
	const over = 300 * time.Second
	for _, end := range []string{
		"start all", "heal all all", "store-lost-answers share=0", "store-latency share=0",
		"command-latency share=0", "duplicate-heartbeats share=0", "cancel-on-completion share=0",
	} {
		d.add(over, end)
	}
	d.add(375*time.Second, "check-liveness")
	d.add(700*time.Second, "end")
}

// drawCombinedJobs draws the jobs of a scenario, some of which are cancelled.
func (d *scenarioGenerator) drawCombinedJobs() {
	r := d.rand
	d.add(time.Second, "submit run-1 kind=service priority=critical tasks=3 cpus=2 image-gb=0 spread=1")
	d.add(time.Second, "submit run-2 kind=service priority=critical team=blue tasks=2 cpus=1 image-gb=1")
	for i := range 14 {
		at, team := seconds(1+r.IntN(190)), d.oneOf("red", "blue")
		extra := d.oneOf("", " one-zone=1", " zone=north", " spot=1", " spot=1 checkpoint=4 save=1", " runs=2,70")
		d.add(at, "submit run-%d team=%s tasks=%d cpus=%d run=%d image-gb=%d repeats=%d%s",
			10+i, team, 1+r.IntN(6), 1+r.IntN(3), 3+r.IntN(60), r.IntN(3), r.IntN(2), extra)
		if r.IntN(3) == 0 {
			d.add(at+d.secondsBelow(60), "cancel run-%d", 10+i)
		}
	}
}

// someController draws the controller that a fault affects.
func (d *scenarioGenerator) someController() string {
	return d.oneOf("leader", "holder:0", "holder:1", "a", "b", "c")
}

// drawOneOfPair draws one fault of a pair, and when it ends.
func (d *scenarioGenerator) drawOneOfPair(pair time.Duration) {
	at := pair + d.millisecondsBelow(3000)
	duration := seconds(3 + d.rand.IntN(70))
	end := at + duration
	share := 1 + d.rand.IntN(9) // tenths
	switch d.rand.IntN(16) {
	case 0:
		d.add(at, "store-outage %s", duration)
	case 1:
		d.add(at, "partition %s store", d.someController())
		d.add(end, "heal all store")
	case 2:
		controller := d.someController()
		d.add(at, "partition %s store", controller)
		d.add(at, "partition %s peers", controller)
		d.add(end, "heal all store")
		d.add(end, "heal all peers")
	case 3:
		d.add(at, "partition %s agents", d.someController())
		d.add(end, "heal all agents")
	case 4, 5:
		d.add(at, "crash %s", d.someController())
		d.add(at+100*time.Millisecond+d.millisecondsBelow(6000), "start all")
	case 6:
		d.add(at, "crash all")
		d.add(at+[]time.Duration{200 * time.Millisecond, 3 * time.Second, duration}[d.rand.IntN(3)], "start all")
	case 7:
		d.add(at, "machine-partition some %s share=0.%d", duration, share)
	case 8:
		d.add(at, "machine-pause some %s share=0.%d", duration, share)
	case 9:
		d.add(at, "inbound-partition some %s share=0.%d", duration, share)
	case 10:
		d.add(at, "outbound-partition some %s share=0.%d", duration, share)
	case 11:
		d.add(at, "store-lost-answers share=0.%d late=0.8", share/2)
		d.add(end, "store-lost-answers share=0")
	case 12:
		d.add(at, "store-latency share=0.%d most=2500ms", share)
		d.add(end, "store-latency share=0")
	case 13:
		d.add(at, "command-latency share=0.%d most=12s", share)
		d.add(end, "command-latency share=0")
	case 14:
		d.add(at, "duplicate-heartbeats share=0.%d least=2s most=70s", share)
		d.add(end, "duplicate-heartbeats share=0")
	case 15:
		d.add(at, "zone-partition north %s", duration)
	}
}

// drawCancellations draws cancellations during a pair of faults, in two cases of three.
func (d *scenarioGenerator) drawCancellations(pair time.Duration) {
	switch d.rand.IntN(3) {
	case 0:
		d.add(pair+d.millisecondsBelow(4000), "cancel-running count=%d pause=%ds", 1+d.rand.IntN(4), d.rand.IntN(30))
	case 1:
		d.add(pair, "cancel-on-completion share=0.%d", 1+d.rand.IntN(9))
		d.add(pair+30*time.Second, "cancel-on-completion share=0")
	}
}
