package coordination

import (
	"time"

	"rockrun/internal/config"
)

// Arrivals are counted in bins; the fullest quarter of them is left out, so that
// the wave in which a cluster is filled for the first time is not taken for a
// rate.
const (
	arrivalBin  = 10 * time.Second
	arrivalBins = 12
)

// Decision is one line of the sizer's history.
type Decision struct {
	Action  string  `json:"action"`
	Reason  string  `json:"reason"`
	Term    uint64  `json:"term"`
	AtMS    int64   `json:"at_ms"`
	Blocked int     `json:"blocked_tasks"`
	Booked  float64 `json:"booked_share"`
	Fleet   int     `json:"fleet"`
	Count   int     `json:"count"`
	Pool    string  `json:"pool,omitempty"`
}

// windows keeps since when a condition has held, by machine.
type holdWindows map[string]time.Duration

// held reports whether a machine's condition has held for the whole window.
func (w holdWindows) heldFor(name string, cond bool, now, window time.Duration) bool {
	since := w[name]
	ok := heldFor(cond, &since, now, window)
	if since == 0 {
		delete(w, name)
	} else {
		w[name] = since
	}
	return ok
}

// held keeps since at the time when a condition began to hold, and reports
// whether it has held for the whole window.
func heldFor(cond bool, since *time.Duration, now, window time.Duration) bool {
	if !cond {
		*since = 0
		return false
	}
	if *since == 0 {
		*since = max(now, 1)
	}
	return now-*since >= window
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// bounds are the options' windows.
type cycleWindows struct{ cycleInterval, scaleOutWindow, scaleInWindow time.Duration }

func cycleWindowsOf(o config.Options) cycleWindows {
	return cycleWindows{seconds(o.CycleSeconds), seconds(o.ScaleOutWindowSeconds), seconds(o.ScaleInWindowSeconds)}
}
