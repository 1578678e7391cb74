package loop

import "time"

// Window tracks how long a condition has held without interruption. In the zero value the
// condition does not hold.
type Window struct{ heldSince time.Duration }

// Observe records whether the condition holds now, and reports whether it has held for at
// least the given length.
func (w *Window) Observe(holds bool, now, length time.Duration) bool {
	if !holds {
		w.heldSince = 0
		return false
	}
	if w.heldSince == 0 {
		w.heldSince = max(now, 1) // 0 means that the condition does not hold
	}
	return now-w.heldSince >= length
}

// Holds reports whether the condition held when it was last observed.
func (w *Window) Holds() bool { return w.heldSince != 0 }

// Windows holds a window per name. A name whose condition does not hold has no entry.
type Windows map[string]Window

// Observe calls Window.Observe for the condition with the given name.
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
