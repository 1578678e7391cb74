package reconcile

import "testing"

// TestFence: only the grant's token or a higher one confirms a fence, a new grant must be
// confirmed again, and commands that must supersede starts get a higher token than any start.
func TestFence(t *testing.T) {
	f := newFence(100)
	for _, step := range []struct {
		name      string
		do        func()
		current   uint64
		confirmed bool
	}{
		{"acquired", func() {}, 100, false},
		{"token of an earlier holder reported", func() { f.observe(99) }, 100, false},
		{"token of the grant reported", func() { f.observe(100) }, 100, true},
		{"raised above starts, none sent", f.raiseAboveStarts, 100, true},
		{"start sent", func() { f.tokenForStart() }, 100, true},
		{"raised above the start", f.raiseAboveStarts, 101, true},
		{"already above the start", f.raiseAboveStarts, 101, true},
		{"raised", func() { f.raise() }, 102, true},
		{"raised above a lower token", func() { f.raiseAbove(101) }, 102, true},
		{"raised above the token in use", func() { f.raiseAbove(102) }, 103, true},
		{"same grant again", func() { f.regrant(100) }, 103, true},
		{"grant below the token in use", func() { f.regrant(102) }, 103, false},
		{"token of that grant reported", func() { f.observe(102) }, 103, true},
		{"grant above the token in use", func() { f.regrant(200) }, 200, false},
		{"older token reported", func() { f.observe(103) }, 200, false},
	} {
		step.do()
		if f.current != step.current || f.confirmed != step.confirmed {
			t.Errorf("%s: token %d, confirmed %t", step.name, f.current, f.confirmed)
		}
	}
}
