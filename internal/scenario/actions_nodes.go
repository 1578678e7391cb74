package scenario

// Actions on controllers: processes end, stand still and lose parts of the network.

func actCrash(s *sim, line *statement) func() {
	name := line.arg(0)
	if name == "all" {
		return func() {
			s.faultBegins("all-down", "")
			for _, h := range s.hosts {
				h.crash()
			}
		}
	}
	s.known(line, name)
	return func() {
		s.hostNow(name).crash()
	}
}

func actFreeze(s *sim, line *statement) func() {
	name, d := line.arg(0), line.duration(line.arg(1))
	s.known(line, name)
	return func() {
		s.noteFault("pause", d)
		s.hostNow(name).thaw = s.now + d
	}
}

func actStop(s *sim, line *statement) func() {
	h := s.host(line, line.arg(0))
	return func() {
		if p := h.p; p != nil {
			p.controller.Stop(h.crash)
		}
	}
}

func actStart(s *sim, line *statement) func() {
	if line.arg(0) == "all" {
		return func() {
			s.faultEnds("all-down", "")
			for _, h := range s.hosts {
				if h.p == nil {
					h.start()
				}
			}
		}
	}
	h := s.host(line, line.arg(0))
	return func() {
		if h.p == nil {
			h.start()
		}
	}
}

func actCut(s *sim, line *statement) func() {
	name, what, on := line.arg(0), line.arg(1), line.verb == "partition"
	s.known(line, name)
	return func() {
		for _, h := range s.hostsNow(name) {
			h.cut(what, on)
		}
	}
}

func actZoneCut(s *sim, line *statement) func() {
	zone, d := line.arg(0), line.duration(line.arg(1))
	return func() { s.apart(zone, d) }
}

// cut takes parts of a host's network away, or gives them back. The host counts as
// cut for as long as any part is missing, whatever name it was cut or healed by.
func (h *host) cut(what string, on bool) {
	before := h.isCut()
	if what == "all" || what == "store" {
		h.noState = on
	}
	if what == "all" || what == "peers" {
		h.noPeers = on
	}
	if what == "all" || what == "agents" {
		h.noAgents = on
	}
	switch after := h.isCut(); {
	case after && !before:
		h.s.faultBegins("partition", h.name)
	case before && !after:
		h.s.faultEnds("partition", h.name)
	}
	if !on {
		h.s.store.wake()
	}
}

func (h *host) isCut() bool { return h.noState || h.noPeers || h.noAgents }

// actUpgrade ends a controller's process; the next one is of the new version, which
// knows the limits to come.
func actUpgrade(s *sim, line *statement) func() {
	h := s.host(line, line.arg(0))
	down := line.duration(line.text("down", "3s"))
	return func() {
		s.noteFault("upgrade", down)
		h.crash()
		h.unaware = false
		s.after(down, func() {
			if h.p == nil {
				h.start()
			}
		})
	}
}
