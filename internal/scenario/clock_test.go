package scenario

import (
	"slices"
	"testing"
	"time"
)

// TestClockOrder: events come in the order of their times, those of one time in the order
// in which they were scheduled, and none after the end.
func TestClockOrder(t *testing.T) {
	var c clock
	var seen []string
	note := func(name string) func() {
		return func() { seen = append(seen, name+" "+c.now.String()) }
	}
	c.after(3*time.Second, note("third"))
	c.after(time.Second, func() {
		note("first")()
		c.after(-time.Second, note("at once"))
	})
	c.after(time.Second, note("second"))
	c.after(5*time.Second, note("last"))
	c.after(6*time.Second, note("never"))
	c.run(5 * time.Second)
	want := []string{"first 1s", "second 1s", "at once 1s", "third 3s", "last 5s"}
	if !slices.Equal(seen, want) || c.now != 5*time.Second {
		t.Errorf("at %s: %q, want %q", c.now, seen, want)
	}
}
