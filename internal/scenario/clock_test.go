package scenario

import (
	"slices"
	"testing"
	"time"
)

// TestClockOrder checks that events run in the order of their due times, that events with
// equal due times run in scheduling order, and that events after the end do not run.
func TestClockOrder(t *testing.T) {
	var c clock
	var executed []string
	record := func(name string) func() {
		return func() { executed = append(executed, name+" "+c.now.String()) }
	}
	c.after(3*time.Second, record("third"))
	c.after(time.Second, func() {
		record("first")()
		c.after(-time.Second, record("negative delay"))
	})
	c.after(time.Second, record("second"))
	c.after(5*time.Second, record("at the end"))
	c.after(6*time.Second, record("after the end"))
	c.run(5 * time.Second)
	want := []string{"first 1s", "second 1s", "negative delay 1s", "third 3s", "at the end 5s"}
	if !slices.Equal(executed, want) || c.now != 5*time.Second {
		t.Errorf("at %s: %q, want %q", c.now, executed, want)
	}
}
