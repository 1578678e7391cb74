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
			runCombinedFaults(t, seed, nil)
		})
	}
}

// TestRandomPipelines runs scenarios with pairs of overlapping faults and pipelines of every shape.
// In some pipelines a job is cancelled, and in some the last job is submitted only when the others
// have ended.
func TestRandomPipelines(t *testing.T) {
	for seed := uint64(1001); seed <= 1000+pipelineRuns; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			pipelines := &scenarioGenerator{rand: rand.New(rand.NewPCG(seed, 3))}
			pipelines.drawPipelines()
			runCombinedFaults(t, seed, pipelines.script)
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

// runCombinedFaults draws a scenario from a seed, appends more lines to its script and runs it.
func runCombinedFaults(t *testing.T, seed uint64, more []byte) {
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
	generator.run(t, world, seed)
}

// drawPipelines draws the lines of a script that submit pipelines.
func (g *scenarioGenerator) drawPipelines() {
	r := g.rand
	for i := range 9 {
		g.add(seconds(1+r.IntN(200)), "pipeline run-%d shape=%s every=%dms count=%d team=%s tasks=%d cpus=%d run=%d image-gb=%d"+
			" cancelled=0.%d late=0.%d after=%ds repeats=%d priority=urgent spot=1",
			1000+100*i, g.oneOf("chain", "diamond", "fan-in", "fan-out", "ten"), 10+r.IntN(4000), 1+r.IntN(4), g.oneOf("red", "blue"),
			1+r.IntN(3), 1+r.IntN(2), 1+r.IntN(8), r.IntN(2), r.IntN(5), r.IntN(4), 1+r.IntN(60), r.IntN(2))
	}
	if r.IntN(2) == 0 {
		g.add(g.secondsBelow(100), "read-your-writes %ds cancelled=0.1", 20+r.IntN(100))
	}
}

// drawCombinedFaults draws jobs and pairs of faults. The two faults of a pair begin within three
// seconds of each other, and jobs may be cancelled during a pair.
func (g *scenarioGenerator) drawCombinedFaults() {
	g.drawCombinedJobs()
	for at := seconds(25 + g.rand.IntN(15)); at < seconds(200); at += seconds(45 + g.rand.IntN(40)) {
		for range 2 {
			g.drawOneOfPair(at)
		}
		g.drawCancellations(at)
	}
	const over = 300 * time.Second
	for _, end := range []string{
		"start all", "heal all all", "store-lost-answers share=0", "store-latency share=0",
		"command-latency share=0", "duplicate-heartbeats share=0", "cancel-on-completion share=0",
	} {
		g.add(over, end)
	}
	g.add(375*time.Second, "check-liveness")
	g.add(700*time.Second, "end")
}

// drawCombinedJobs draws the jobs of a scenario, some of which are cancelled.
func (g *scenarioGenerator) drawCombinedJobs() {
	r := g.rand
	g.add(time.Second, "submit run-1 kind=service priority=critical tasks=3 cpus=2 image-gb=0 spread=1")
	g.add(time.Second, "submit run-2 kind=service priority=critical team=blue tasks=2 cpus=1 image-gb=1")
	for i := range 14 {
		at, team := seconds(1+r.IntN(190)), g.oneOf("red", "blue")
		extra := g.oneOf("", " one-zone=1", " zone=north", " spot=1", " spot=1 checkpoint=4 save=1", " runs=2,70")
		g.add(at, "submit run-%d team=%s tasks=%d cpus=%d run=%d image-gb=%d repeats=%d%s",
			10+i, team, 1+r.IntN(6), 1+r.IntN(3), 3+r.IntN(60), r.IntN(3), r.IntN(2), extra)
		if r.IntN(3) == 0 {
			g.add(at+g.secondsBelow(60), "cancel run-%d", 10+i)
		}
	}
}

// someController draws the controller that a fault affects.
func (g *scenarioGenerator) someController() string {
	return g.oneOf("leader", "holder:0", "holder:1", "a", "b", "c")
}

// drawOneOfPair draws one fault of a pair, and when it ends.
func (g *scenarioGenerator) drawOneOfPair(pair time.Duration) {
	at := pair + g.millisecondsBelow(3000)
	duration := seconds(3 + g.rand.IntN(70))
	end := at + duration
	share := 1 + g.rand.IntN(9) // tenths
	switch g.rand.IntN(16) {
	case 0:
		g.add(at, "store-outage %s", duration)
	case 1:
		g.add(at, "partition %s store", g.someController())
		g.add(end, "heal all store")
	case 2:
		controller := g.someController()
		g.add(at, "partition %s store", controller)
		g.add(at, "partition %s peers", controller)
		g.add(end, "heal all store")
		g.add(end, "heal all peers")
	case 3:
		g.add(at, "partition %s agents", g.someController())
		g.add(end, "heal all agents")
	case 4, 5:
		g.add(at, "crash %s", g.someController())
		g.add(at+100*time.Millisecond+g.millisecondsBelow(6000), "start all")
	case 6:
		g.add(at, "crash all")
		g.add(at+[]time.Duration{200 * time.Millisecond, 3 * time.Second, duration}[g.rand.IntN(3)], "start all")
	case 7:
		g.add(at, "machine-partition some %s share=0.%d", duration, share)
	case 8:
		g.add(at, "machine-pause some %s share=0.%d", duration, share)
	case 9:
		g.add(at, "inbound-partition some %s share=0.%d", duration, share)
	case 10:
		g.add(at, "outbound-partition some %s share=0.%d", duration, share)
	case 11:
		g.add(at, "store-lost-answers share=0.%d late=0.8", share/2)
		g.add(end, "store-lost-answers share=0")
	case 12:
		g.add(at, "store-latency share=0.%d most=2500ms", share)
		g.add(end, "store-latency share=0")
	case 13:
		g.add(at, "command-latency share=0.%d most=12s", share)
		g.add(end, "command-latency share=0")
	case 14:
		g.add(at, "duplicate-heartbeats share=0.%d least=2s most=70s", share)
		g.add(end, "duplicate-heartbeats share=0")
	case 15:
		g.add(at, "zone-partition north %s", duration)
	}
}

// drawCancellations draws cancellations during a pair of faults, in two cases of three.
func (g *scenarioGenerator) drawCancellations(pair time.Duration) {
	switch g.rand.IntN(3) {
	case 0:
		g.add(pair+g.millisecondsBelow(4000), "cancel-running count=%d pause=%ds", 1+g.rand.IntN(4), g.rand.IntN(30))
	case 1:
		g.add(pair, "cancel-on-completion share=0.%d", 1+g.rand.IntN(9))
		g.add(pair+30*time.Second, "cancel-on-completion share=0")
	}
}
