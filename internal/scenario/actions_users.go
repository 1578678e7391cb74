package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"rockrun/internal/protocol"
)

// Actions of the users: jobs come, are cancelled, and are asked about.

func actSubmit(s *sim, line *statement) func() {
	j := s.job(line)
	switch when := line.text("when", "now"); when {
	case "accepted", "over":
		return func() { s.users.submitWhen(j, when == "over") }
	case "now":
	default:
		line.fail("submit: when %s", when)
	}
	return func() { s.users.submitFirst(j) }
}

func actStream(s *sim, line *statement) func() {
	// Many like jobs: one every so often, with ids that count up.
	id, every, count := line.arg(0), line.duration(line.text("every", "1s")), int(line.num("count", 10))
	prefix, number, _ := strings.Cut(id, "-")
	first, err := strconv.Atoi(number)
	if err != nil {
		line.fail("stream: %v", err)
	}
	cancelled, after := line.num("cancelled", 0), line.duration(line.text("after", "5s"))
	behind := int(line.num("behind", -1)) // the first of as many jobs of which each needs one
	var jobs []*userJob
	for i := range count {
		line.args[0] = fmt.Sprintf("%s-%d", prefix, first+i)
		j := s.job(line)
		if behind >= 0 {
			j.spec.Dependencies = append(j.spec.Dependencies, fmt.Sprintf("%s-%d", prefix, behind+i))
		}
		jobs = append(jobs, j)
	}
	return func() {
		for i, j := range jobs {
			s.after(time.Duration(i)*every, func() {
				s.users.submitFirst(j)
				if s.rand.Float64() < cancelled {
					s.after(time.Duration(s.rand.Int64N(int64(after))), func() { s.users.withdraw(j) })
				}
			})
		}
	}
}

func actWithdraw(s *sim, line *statement) func() {
	id := line.arg(0)
	return func() {
		if j := s.users.jobs[id]; j != nil {
			s.users.withdraw(j)
		}
	}
}

func actCancelNow(s *sim, line *statement) func() {
	count, hang := int(line.num("count", 10)), line.duration(line.text("pause", "0s"))
	return func() { s.users.cancelNow(count, hang) }
}

func actCancelAtEnd(s *sim, line *statement) func() {
	share := line.num("share", 0.5)
	return func() { s.users.atEnd = share }
}

func actOnlyWell(s *sim, line *statement) func() {
	on := line.arg(0) == "on"
	return func() { s.users.onlyWell = on }
}

func actCloseLooks(s *sim, line *statement) func() {
	d := line.duration(line.arg(0))
	cancelled := line.num("cancelled", 0)
	return func() {
		s.noteFault("read-your-writes", d)
		s.users.closeLooks, s.users.cancelAtOnce = s.now+d, cancelled
	}
}

func actOdd(s *sim, line *statement) func() {
	d := line.duration(line.arg(0))
	return func() {
		s.noteFault("invalid-requests", d)
		s.users.odd(s.now + d)
	}
}

func actCalm(s *sim, line *statement) func() {
	return s.check.calm
}

// job reads the description of a job.
func (s *sim) job(line *statement) *userJob {
	sp := protocol.JobSpec{
		ID: line.arg(0), Class: line.text("class", "c"), Team: line.text("team", "red"), Priority: line.text("priority", "normal"),
		Tasks: int(line.num("tasks", 1)), CPUs: line.num("cpus", 1), MemoryGB: line.num("mem", 1), Image: line.text("image", "img"), ImageGB: line.num("image-gb", 1),
		Zone: line.text("zone", ""), OneZone: line.text("one-zone", "") != "", Spread: line.text("spread", "") != "", Spot: line.text("spot", "") != "",
		EstimateSeconds: line.num("estimate", 10), CheckpointSeconds: line.num("checkpoint", 0), SaveSeconds: line.num("save", 0), DeadlineSeconds: line.num("deadline", 0),
	}
	switch kind := line.text("kind", "array"); kind {
	case "array":
		sp.Kind = protocol.KindArray
	case "service":
		sp.Kind = protocol.KindService
	case "gang":
		sp.Kind = protocol.KindGang
	default:
		line.fail("kind %s", kind)
	}
	if needs := line.text("dependencies", ""); needs != "" {
		sp.Dependencies = strings.Split(needs, ",")
	}
	if t := line.text("types", ""); t != "" {
		sp.Types = strings.Split(t, ",")
	}
	var runs []float64 // of the first tasks, where they differ
	if list := line.text("runs", ""); list != "" {
		for _, v := range strings.Split(list, ",") {
			f, err := strconv.ParseFloat(v, 64)
			if err != nil {
				line.fail("%s: %v", line.verb, err)
			}
			runs = append(runs, f)
		}
	}
	return &userJob{spec: sp, run: line.num("run", 10), runs: runs, broken: line.text("broken", "") != "", repeats: int(line.num("repeats", 0))}
}
