package scenario

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
)

// soak is a test that draws a scenario from each of a number of seeds. It is short in CI; flags
// make it longer and select other seeds.
type soak struct {
	days, firstSeed *uint64
	stream          uint64 // of the random numbers, which differs between soaks
}

// newSoak declares the flags of a soak: NAME-days and NAME-seed.
func newSoak(name string, days, stream uint64) soak {
	return soak{
		days:      flag.Uint64(name+"-days", days, "number of scenarios in the "+name+" soak test"),
		firstSeed: flag.Uint64(name+"-seed", 1, "seed of the first scenario of the "+name+" soak test; the others use the seeds that follow"),
		stream:    stream,
	}
}

// run runs the scenarios, each as a subtest named by its seed. draw draws a scenario and returns
// its world.
func (s soak) run(t *testing.T, draw func(*scenarioGenerator) (world []byte)) {
	for seed := *s.firstSeed; seed < *s.firstSeed+*s.days; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			generator := &scenarioGenerator{rand: rand.New(rand.NewPCG(seed, s.stream))}
			world := draw(generator)
			generator.runUnrecorded(t, world, seed)
		})
	}
}
