package scenario

import (
	"testing"
	"time"
)

// restartSoak is short in CI. A long run is started manually:
//
//	go test ./internal/scenario -run TestRestartSoak -restart-days 20000 -restart-seed 100000 -timeout 0
var restartSoak = newSoak("restart", 150, 5)

// TestRestartSoak guards against tasks that a delayed copy of a start runs again. It runs the
// scenarios of the handover soak test with further faults: machines restart within an epoch of
// their agents, so that these forget all tasks, and copies of commands arrive late.
func TestRestartSoak(t *testing.T) {
	restartSoak.run(t, func(generator *scenarioGenerator) []byte {
		world := generator.drawHandoverWorld()
		generator.drawHandoverScenario()
		generator.drawRestarts()
		return world
	})
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
