package loop

import "time"

// Window tells how long a condition has held without a gap. The zero value has not seen
// it hold.
type Window struct{ since time.Duration }

// Observe takes in whether the condition holds now, and reports whether it has held for
// the whole length of the window.
func (w *Window) Observe(holds bool, now, length time.Duration) bool {
	if !holds {
		w.since = 0
		return false
	}
	if w.since == 0 {
		w.since = max(now, 1) // 0 means that it does not hold
	}
	return now-w.since >= length
}

// Holds reports whether the condition held when it was last observed.
func (w *Window) Holds() bool { return w.since != 0 }

// Windows are windows by name. A name whose condition does not hold takes no room.
type Windows map[string]Window

// Observe is Window.Observe for the condition with a name.
func (w Windows) Observe(name string, holds bool, now, length time.Duration) bool {
	window := w[name]
	held := window.Observe(holds, now, length)
	if window.Holds() {
		w[name] = window
	} else {
		delete(w, name)
	}
	return held
}
