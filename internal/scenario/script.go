package scenario

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"golang.org/x/tools/txtar"

	"rockrun/internal/protocol"
)

// Result is what came of a scenario.
type Result struct {
	Violations        []string // of rules, with when and how
	UnmetExpectations []string

	Digest  string              // of everything that controllers sent
	Records []protocol.KeyValue // what lies in the key-value store at the end, by key
}

// The files of a scenario.
const (
	fileWorld  = "world"
	fileScript = "script"
	fileExpect = "expect"
)

// verbEnd ends a scenario.
const verbEnd = "end"

// defaultEnd is when a scenario ends whose script doesn't say.
const defaultEnd = 5 * time.Minute

// LineError is a line of a scenario that can't be read.
type LineError struct {
	File string // world, script or expect
	Line string
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("%s: %q: %v", e.File, e.Line, e.Err) }

// Unwrap returns what is wrong with the line.
func (e *LineError) Unwrap() error { return e.Err }

// ErrUnknownVerb is a line that begins with no declaration, action or expectation.
var ErrUnknownVerb = errors.New("unknown verb")

// Run plays a scenario with a seed and writes what the controllers log. The same seed
// gives the same run. It returns a *LineError for a scenario that can't be read.
func Run(archive *txtar.Archive, seed uint64, log io.Writer) (*Result, error) {
	files := map[string][]string{}
	for _, file := range archive.Files {
		files[file.Name] = statements(file.Data)
	}
	sim, err := buildWorld(files[fileWorld], seed, log)
	if err != nil {
		return nil, err
	}
	end, err := sim.schedule(files[fileScript])
	if err != nil {
		return nil, err
	}
	sim.run(end)
	sim.checker.checkFinalState()
	unmet, err := sim.unmetExpectations(files[fileExpect])
	if err != nil {
		return nil, err
	}
	return &Result{
		Violations:        sim.checker.violations,
		UnmetExpectations: unmet,
		Digest:            sim.trace.digest(),
		Records:           sim.store.allItems(),
	}, nil
}

// schedule reads the script: lines of a time, an action and its arguments. It returns when
// the scenario ends.
func (s *simulation) schedule(script []string) (end time.Duration, err error) {
	end = defaultEnd
	for _, text := range script {
		at, rest, _ := strings.Cut(text, " ")
		line := parseStatement(rest)
		when := line.duration(at)
		if line.verb == verbEnd {
			end = when
			continue
		}
		read, ok := actions[line.verb]
		if !ok {
			return 0, &LineError{File: fileScript, Line: text, Err: ErrUnknownVerb}
		}
		do := read(s, line)
		if line.err != nil {
			return 0, &LineError{File: fileScript, Line: text, Err: line.err}
		}
		s.after(when, do)
	}
	return end, nil
}

// unmetExpectations checks what must be true at the end.
func (s *simulation) unmetExpectations(expect []string) (unmet []string, err error) {
	for _, text := range expect {
		line := parseStatement(text)
		check, ok := expectations[line.verb]
		if !ok {
			return nil, &LineError{File: fileExpect, Line: text, Err: ErrUnknownVerb}
		}
		why := check(s, line)
		if line.err != nil {
			return nil, &LineError{File: fileExpect, Line: text, Err: line.err}
		}
		if why != "" {
			unmet = append(unmet, fmt.Sprintf("%s: %s", text, why))
		}
	}
	return unmet, nil
}
