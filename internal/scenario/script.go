package scenario

import (
	"fmt"
	"io"
	"strings"
	"time"

	"golang.org/x/tools/txtar"

	"rockrun/internal/protocol"
)

// Result is what came of a scenario.
type Result struct {
	Violations []string // rules, with when and how
	UnmetExpectations []string // expectations that were not met

	Digest  string              // of everything that controllers sent
	Records []protocol.KeyValue // what lies in the state service at the end, by key
}

// defaultEnd is when a scenario ends whose script doesn't say.
const defaultEnd = 5 * time.Minute

// Run plays a scenario with a seed and writes what the nodes log.
func Run(a *txtar.Archive, seed uint64, log io.Writer) (*Result, error) {
	files := map[string][]string{}
	for _, f := range a.Files {
		files[f.Name] = statements(f.Data)
	}
	sim, err := buildWorld(files["world"], seed, log)
	if err != nil {
		return nil, err
	}
	end, err := sim.schedule(files["script"])
	if err != nil {
		return nil, err
	}
	sim.run(end)
	sim.checker.end()
	failed, err := sim.unmetExpectations(files["expect"])
	if err != nil {
		return nil, err
	}
	return &Result{Violations: sim.checker.violations, UnmetExpectations: failed, Digest: sim.trace.digest(), Records: sim.store.list()}, nil
}

// schedule reads the script: lines of a time, a verb and its arguments. It
// returns when the scenario ends.
func (s *simulation) schedule(script []string) (end time.Duration, err error) {
	end = defaultEnd
	for _, text := range script {
		at, rest, _ := strings.Cut(text, " ")
		line := parseStatement(rest)
		when := line.duration(at)
		if line.verb == "end" {
			end = when
			continue
		}
		read, ok := actions[line.verb]
		if !ok {
			return 0, fmt.Errorf("script: %q: unknown action", text)
		}
		do := read(s, line)
		if line.err != nil {
			return 0, fmt.Errorf("script: %q: %w", text, line.err)
		}
		s.after(when, do)
	}
	return end, nil
}

// unmetExpectations checks what must be true at the end.
func (s *simulation) unmetExpectations(expect []string) (failed []string, err error) {
	for _, text := range expect {
		line := parseStatement(text)
		check, ok := expectations[line.verb]
		if !ok {
			return nil, fmt.Errorf("expect: %q: unknown expectation", text)
		}
		why := check(s, line)
		if line.err != nil {
			return nil, fmt.Errorf("expect: %q: %w", text, line.err)
		}
		if why != "" {
			failed = append(failed, fmt.Sprintf("%s: %s", text, why))
		}
	}
	return failed, nil
}
