package scenario

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

// scenarioGenerator draws the script and the expectations of a scenario at random. The recorded
// digests depend on the order of its draws, so the order must not change.
type scenarioGenerator struct {
	rand   *rand.Rand
	script []byte
	expect []byte
}

// add appends a line to the script.
func (g *scenarioGenerator) add(at time.Duration, format string, args ...any) {
	g.script = fmt.Appendf(g.script, "%s ", at)
	g.script = fmt.Appendf(g.script, format+"\n", args...)
}

// oneOf draws one of the given texts.
func (g *scenarioGenerator) oneOf(texts ...string) string { return texts[g.rand.IntN(len(texts))] }

// secondsBelow draws a whole number of seconds below a bound.
func (g *scenarioGenerator) secondsBelow(bound int) time.Duration { return seconds(g.rand.IntN(bound)) }

// millisecondsBelow draws a whole number of milliseconds below a bound.
func (g *scenarioGenerator) millisecondsBelow(bound int) time.Duration {
	return time.Duration(g.rand.IntN(bound)) * time.Millisecond
}

func seconds(count int) time.Duration { return time.Duration(count) * time.Second }

// run runs the scenario in a world and compares its digest with the recorded one.
func (g *scenarioGenerator) run(t *testing.T, world []byte, seed uint64) {
	t.Helper()
	g.runAndCheck(t, world, seed, checkDigest)
}

// runUnrecorded runs a scenario whose digest is not recorded.
func (g *scenarioGenerator) runUnrecorded(t *testing.T, world []byte, seed uint64) {
	t.Helper()
	g.runAndCheck(t, world, seed, func(*testing.T, *Result) {})
}

// runAndCheck runs the scenario in a world. No rule may be violated, every expectation must be
// met, and the result must pass a check.
func (g *scenarioGenerator) runAndCheck(t *testing.T, world []byte, seed uint64, check func(*testing.T, *Result)) {
	t.Helper()
	archive := &txtar.Archive{Files: []txtar.File{
		{Name: fileWorld, Data: world},
		{Name: fileScript, Data: g.script},
		{Name: fileExpect, Data: g.expect},
	}}
	var log bytes.Buffer
	result, err := Run(archive, seed, &log)
	if err != nil {
		t.Fatal(err)
	}
	check(t, result)
	for _, finding := range append(result.Violations, result.UnmetExpectations...) {
		t.Error(finding)
	}
	if t.Failed() {
		t.Logf("generated scenario:\n%s", txtar.Format(archive))
		if testing.Verbose() {
			t.Log(log.String())
		}
	}
}
