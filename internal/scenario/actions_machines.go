package scenario

// Actions on machines and on the messages from and to their workers.

func actHang(s *sim, line *statement) func() {
	pick, d := s.machines(line), line.duration(line.arg(1))
	return func() {
		for _, x := range pick() {
			s.noteFault("machine-pause", d)
			x.hang(d)
		}
	}
}

func actDeaf(s *sim, line *statement) func() {
	pick, d, mute := s.machines(line), line.duration(line.arg(1)), line.verb == "outbound-partition"
	return func() {
		for _, x := range pick() {
			s.noteFault(line.verb, d)
			if mute {
				x.mute = true
			} else {
				x.deaf = true
			}
			s.after(d, func() {
				if mute {
					x.mute = false
				} else {
					x.deaf = false
				}
			})
		}
	}
}

func actRestart(s *sim, line *statement) func() {
	name := line.arg(0)
	return func() {
		if x := s.agents[name]; x != nil {
			x.restart()
		}
	}
}

func actDie(s *sim, line *statement) func() {
	pick := s.machines(line)
	return func() {
		for _, x := range pick() {
			s.cloud.die(x.r.Name)
		}
	}
}

func actTake(s *sim, line *statement) func() {
	name, notice := line.arg(0), line.duration(line.text("notice", "0s"))
	return func() {
		if x := s.agents[name]; x != nil && notice > 0 {
			x.warn = s.now + notice
			x.changed()
		}
		s.after(notice, func() { s.cloud.delete([]string{name}) })
	}
}

func actMachineCut(s *sim, line *statement) func() {
	pick, d := s.machines(line), line.duration(line.arg(1))
	return func() {
		for _, x := range pick() {
			s.noteFault("machine-partition", d)
			x.cut = true
			s.after(d, x.heal)
		}
	}
}

func actFaulty(s *sim, line *statement) func() {
	name := line.arg(0)
	return func() {
		if x := s.agents[name]; x != nil {
			x.faulty = true
		}
	}
}

func actSlow(s *sim, line *statement) func() {
	name, factor := line.arg(0), line.num("factor", 3)
	return func() {
		if x := s.agents[name]; x != nil {
			x.slow = factor
		}
	}
}

func actDrag(s *sim, line *statement) func() {
	share, most := line.num("share", 0.3), line.duration(line.text("most", "10s"))
	return func() { s.drag, s.dragMost = share, most }
}

func actCopies(s *sim, line *statement) func() {
	share, least, most := line.num("share", 0.3), line.duration(line.text("least", "1s")), line.duration(line.text("most", "90s"))
	return func() { s.copies, s.copyLeast, s.copyMost = share, least, most }
}

func actKeepCopies(s *sim, line *statement) func() {
	share := line.num("share", 0.5)
	return func() { s.keptCopies = share }
}

func actLateCommands(s *sim, line *statement) func() {
	share, least, most := line.num("share", 0.3), line.duration(line.text("least", "2s")), line.duration(line.text("most", "16s"))
	return func() { s.lateCommands, s.lateLeast, s.lateMost = share, least, most }
}

func actEcho(s *sim, line *statement) func() {
	share := line.num("share", 0.3)
	return func() { s.echo = share }
}
