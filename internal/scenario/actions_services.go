package scenario

import "time"

// Actions on the state service and the cloud.

func actOutage(s *sim, line *statement) func() {
	d := line.duration(line.arg(0))
	return func() {
		s.noteFault("store-outage", d)
		s.store.setOutage(true)
		s.after(d, func() { s.store.setOutage(false) })
	}
}

func actSlowState(s *sim, line *statement) func() {
	share, most := line.num("share", 0.3), line.duration(line.text("most", "1s"))
	return func() {
		s.store.slow, s.store.slowMost = share, most
		if share > 0 {
			s.faultBegins("store-latency", "")
		} else {
			s.faultEnds("store-latency", "")
		}
	}
}

func actLose(s *sim, line *statement) func() {
	share, late := line.num("share", 0.1), line.num("late", 0.5)
	return func() { s.store.lose, s.store.late = share, late }
}

func actCloudOutage(s *sim, line *statement) func() {
	d := line.duration(line.arg(0))
	return func() {
		s.cloud.outage = true
		s.after(d, func() { s.cloud.outage = false })
	}
}

func actCloudLose(s *sim, line *statement) func() {
	share := line.num("share", 0.5)
	return func() { s.cloud.lose = share }
}

func actNoBoot(s *sim, line *statement) func() {
	n := int(line.num("n", 1))
	return func() { s.cloud.noBoot = n }
}

func actLowerLimits(s *sim, _ *statement) func() {
	return func() {
		s.noteFault("store-lower-limits", time.Second)
		s.store.lower()
	}
}
