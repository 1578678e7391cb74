package reconcile

import "testing"

// TestFence: a fence is confirmed by the grant's token alone, a new grant asks for
// confirmation anew, and what must follow starts goes out under a higher token than any.
func TestFence(t *testing.T) {
	f := newFence(100)
	for _, step := range []struct {
		name      string
		do        func()
		current   uint64
		confirmed bool
	}{
		{"taken up", func() {}, 100, false},
		{"a former holder's token shown", func() { f.observe(99) }, 100, false},
		{"the grant's token shown", func() { f.observe(100) }, 100, true},
		{"no start to rise above", f.raiseAboveStarts, 100, true},
		{"a start sent", func() { f.useForStart() }, 100, true},
		{"risen above the start", f.raiseAboveStarts, 101, true},
		{"already above it", f.raiseAboveStarts, 101, true},
		{"raised", func() { f.raise() }, 102, true},
		{"risen above a lower token", func() { f.raiseAbove(101) }, 102, true},
		{"risen above the one in use", func() { f.raiseAbove(102) }, 103, true},
		{"the same grant again", func() { f.regrant(100) }, 103, true},
		{"a grant below the token in use", func() { f.regrant(102) }, 103, false},
		{"its token shown", func() { f.observe(102) }, 103, true},
		{"a grant above the token in use", func() { f.regrant(200) }, 200, false},
		{"an older token shown", func() { f.observe(103) }, 200, false},
	} {
		step.do()
		if f.current != step.current || f.confirmed != step.confirmed {
			t.Errorf("%s: token %d, confirmed %t", step.name, f.current, f.confirmed)
		}
	}
}
