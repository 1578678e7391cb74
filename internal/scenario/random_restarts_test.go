package scenario

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// The restart soak test is short in CI. A long run is started manually:
//
//	go test ./internal/scenario -run TestRestartSoak -restart-days 20000 -restart-seed 100000 -timeout 0
var (
	restartRuns      = flag.Uint64("restart-days", 150, "number of scenarios in the restart soak test")
	firstRestartSeed = flag.Uint64("restart-seed", 1, "seed of the first scenario of the restart soak test; the others use the seeds that follow")
)

// TestRestartSoak guards against tasks that a delayed copy of a start runs again. It runs the
// scenarios of the handover soak test with further faults: machines restart within an epoch of
// their agents, so that these forget all tasks, and copies of commands arrive late.
func TestRestartSoak(t *testing.T) {
	for seed := *firstRestartSeed; seed < *firstRestartSeed+*restartRuns; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			generator := &scenarioGenerator{rand: rand.New(rand.NewPCG(seed, 5))}
			world := generator.drawHandoverWorld()
			generator.drawHandoverScenario()
			generator.drawRestarts()
			generator.runUnrecorded(t, world, seed)
		})
	}
}

// drawRestarts draws restarts of machines, and preempted or failing jobs whose attempts end early.
func (g *scenarioGenerator) drawRestarts() {
	g.add(0, "duplicate-commands share=0.%d", 5+g.rand.IntN(5))
	for i := range 40 {
		at := seconds(8) + g.secondsBelow(150)
		g.add(at, "machine-restart m-%06d epoch=kept", g.rand.IntN(16))
		if i%8 == 0 {
			g.add(at-g.millisecondsBelow(3000), "submit run-%d kind=service priority=critical tasks=2 cpus=3 image-gb=0", 300+i)
			g.add(at+g.millisecondsBelow(20000), "cancel run-%d", 300+i)
		}
	}
	for i := range 3 {
		g.add(time.Second+g.secondsBelow(100), "submit run-%d tasks=6 cpus=1 run=20 estimate=20 image-gb=0 broken=1", 400+i)
		g.add(120*time.Second, "cancel run-%d", 400+i)
	}
}
