package scenario

import (
	"fmt"
	"testing"
	"time"
)

// handoverSoak is short in CI. A long run is started manually:
//
//	go test ./internal/scenario -run TestHandoverSoak -handover-days 20000 -handover-seed 100000 -timeout 0
var handoverSoak = newSoak("handover", 300, 4)

// TestHandoverSoak runs scenarios in which the shards of small fleets change holders while
// messages are lost or delayed. Machines boot within two seconds, paused holders resume after
// their shard was granted to another controller, all controllers crash within a second, and
// messages of the cloud, the store and machines arrive late or not at all. At no time may two
// machines have an unfinished attempt of the same task, and no other rule may be violated. A
// failure names the seed of its scenario; -handover-seed repeats it.
func TestHandoverSoak(t *testing.T) {
	handoverSoak.run(t, func(generator *scenarioGenerator) []byte {
		world := generator.drawHandoverWorld()
		generator.drawHandoverScenario()
		return world
	})
}

// drawHandoverWorld draws a small cluster whose machines boot within two seconds. In half of the
// clusters the controllers start without knowing the announced limits of the store, like a version
// that lacks the setting, and are upgraded during the scenario.
func (g *scenarioGenerator) drawHandoverWorld() []byte {
	world := []byte(`team red cpus=24 max=48
team blue cpus=8 max=24
machine-type small cpus=4 mem=32 price=0.4 spot=0.1 boot=1 fetch=1
machine-type large cpus=16 mem=128 price=1.5 spot=0.4 boot=1 fetch=1
capacity small north count=6
capacity small south count=6
capacity small north kind=spot count=4
capacity large south count=2
capacity large south kind=spot count=2
`)
	if g.rand.IntN(4) > 0 {
		world = append(world, "controllers 5\njob-shards n=2\n"...)
	}
	if g.rand.IntN(2) == 0 {
		world = append(world, "store writes=20 value=2 ops=8\nannounced-limits writes=10 value=1 ops=4 unaware=1\n"...)
		for i, controller := range []string{"a", "b", "c"} {
			g.add(seconds(20+25*i)+g.secondsBelow(20), "upgrade %s down=%dms", controller, 200+g.rand.IntN(4000))
		}
		g.add(130*time.Second, "store-lower-limits")
	}
	return world
}

// drawHandoverScenario draws bursts of jobs, and faults during each burst.
func (g *scenarioGenerator) drawHandoverScenario() {
	g.add(time.Second, "submit run-1 kind=service priority=critical tasks=3 cpus=2 image-gb=0")
	for burst := range 8 {
		at := seconds(8+18*burst) + g.millisecondsBelow(6000)
		g.drawBurst(burst, at)
		for range 3 {
			g.drawHandoverFault(at)
		}
		if g.rand.IntN(3) == 0 {
			g.add(at+g.millisecondsBelow(8000), "cancel-running count=%d pause=%ds", 1+g.rand.IntN(3), g.rand.IntN(10))
		}
	}
	const over = 160 * time.Second
	for _, end := range []string{"heal all all", "start all", "store-lost-answers share=0", "cloud-lost-answers share=0"} {
		g.add(over, end)
	}
	g.add(240*time.Second, "end")
}

// drawBurst draws a service and arrays that need new machines within one or two seconds.
func (g *scenarioGenerator) drawBurst(burst int, at time.Duration) {
	r := g.rand
	g.add(at, "submit run-%d kind=service priority=critical tasks=%d cpus=%d image-gb=0", 10+burst, 1+r.IntN(3), 2+2*r.IntN(2))
	for i := range 1 + r.IntN(3) {
		g.add(at+g.millisecondsBelow(3000), "submit run-%d team=%s tasks=%d cpus=%d run=%d estimate=%d image-gb=%d spot=%d",
			100+10*burst+i, g.oneOf("red", "blue"), 1+r.IntN(6), 1+r.IntN(3), 5+r.IntN(40), 5+r.IntN(40), r.IntN(2), r.IntN(2))
	}
	if r.IntN(2) == 0 {
		g.add(at+seconds(20)+g.secondsBelow(40), "cancel run-%d", 10+burst)
	}
}

// drawHandoverFault draws a fault that begins within four seconds after the given time, and when it
// ends.
func (g *scenarioGenerator) drawHandoverFault(around time.Duration) {
	at := around + g.millisecondsBelow(4000)
	machine := fmt.Sprintf("m-%06d", g.rand.IntN(20))
	duration := seconds(2 + g.rand.IntN(25))
	share := 2 + g.rand.IntN(8) // tenths
	switch g.rand.IntN(16) {
	case 0, 1:
		g.add(at, "cloud-lost-answers share=0.%d", share)
		g.add(at+seconds(1+g.rand.IntN(12)), "cloud-lost-answers share=0")
	case 2, 3:
		g.add(at, "pause %s %ds", g.oneOf("holder:0", "holder:1", "leader"), 2+g.rand.IntN(14))
	case 4, 5:
		g.add(at, "crash all")
		g.add(at+seconds(3), "start all")
	case 6:
		g.add(at, "crash %s", g.someController())
		g.add(at+200*time.Millisecond+g.millisecondsBelow(5000), "start all")
	case 7:
		g.add(at, "machine-partition %s %s", machine, duration)
	case 8:
		g.add(at, "outbound-partition some %s share=0.%d", duration, share)
	case 9:
		g.add(at, "inbound-partition some %s share=0.%d", duration, share)
	case 10:
		g.add(at, "machine-pause some %s share=0.%d", duration, share)
	case 11:
		g.add(at, "store-lost-answers share=0.%d late=0.8", share/2)
		g.add(at+duration, "store-lost-answers share=0")
	case 12:
		g.add(at, "duplicate-heartbeats share=0.%d least=2s most=70s", share)
		g.add(at+duration, "duplicate-heartbeats share=0")
	case 13:
		g.add(at, "delayed-commands share=0.%d least=2s most=16s", share)
		g.add(at+duration, "delayed-commands share=0")
	case 14:
		g.add(at, "store-latency share=0.%d most=2500ms", share)
		g.add(at+duration, "store-latency share=0")
	case 15:
		controller := g.someController()
		g.add(at, "partition %s %s", controller, g.oneOf(partAll, partStore, partPeers, partAgents))
		g.add(at+duration, "heal all all")
	}
}
