package scenario

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
)

// dayWriter draws a day: the script of a scenario, and what is expected of it. The order of
// its draws decides what the recorded seeds play, so it stays as it is.
type dayWriter struct {
	rand   *rand.Rand
	script []byte
	expect []byte
}

// add writes a line of the script.
func (d *dayWriter) add(at time.Duration, format string, args ...any) {
	d.script = fmt.Appendf(d.script, "%s ", at)
	d.script = fmt.Appendf(d.script, format+"\n", args...)
}

// oneOf draws one of some texts.
func (d *dayWriter) oneOf(texts ...string) string { return texts[d.rand.IntN(len(texts))] }

// secondsBelow draws whole seconds below a bound.
func (d *dayWriter) secondsBelow(bound int) time.Duration { return seconds(d.rand.IntN(bound)) }

// millisecondsBelow draws whole milliseconds below a bound.
func (d *dayWriter) millisecondsBelow(bound int) time.Duration {
	return time.Duration(d.rand.IntN(bound)) * time.Millisecond
}

func seconds(count int) time.Duration { return time.Duration(count) * time.Second }

// play plays the day in a world, and compares its digest with the recorded one.
func (d *dayWriter) play(t *testing.T, world []byte, seed uint64) {
	t.Helper()
	d.playAndCheck(t, world, seed, checkDigest)
}

// playUnrecorded plays a day whose digest is not recorded.
func (d *dayWriter) playUnrecorded(t *testing.T, world []byte, seed uint64) {
	t.Helper()
	d.playAndCheck(t, world, seed, func(*testing.T, *Result) {})
}

// playAndCheck plays the day in a world. No rule may be broken, all that is expected must
// hold, and the result must pass a check.
func (d *dayWriter) playAndCheck(t *testing.T, world []byte, seed uint64, check func(*testing.T, *Result)) {
	t.Helper()
	day := &txtar.Archive{Files: []txtar.File{
		{Name: fileWorld, Data: world},
		{Name: fileScript, Data: d.script},
		{Name: fileExpect, Data: d.expect},
	}}
	var log bytes.Buffer
	result, err := Run(day, seed, &log)
	if err != nil {
		t.Fatal(err)
	}
	check(t, result)
	for _, finding := range append(result.Violations, result.UnmetExpectations...) {
		t.Error(finding)
	}
	if t.Failed() {
		t.Logf("the day:\n%s", txtar.Format(day))
		if testing.Verbose() {
			t.Log(log.String())
		}
	}
}
