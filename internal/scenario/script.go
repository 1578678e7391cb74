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

// Result is the outcome of a scenario run.
type Result struct {
	Violations        []string // rule violations, each with its time and details
	UnmetExpectations []string

	Digest  string              // digest of everything that controllers sent
	Records []protocol.KeyValue // final contents of the key-value store, sorted by key
}

// Names of the files in a scenario archive.
const (
	fileWorld  = "world"
	fileScript = "script"
	fileExpect = "expect"
)

// verbEnd is the script verb that ends a scenario.
const verbEnd = "end"

// defaultEnd is the end time of a scenario whose script has no end statement.
const defaultEnd = 5 * time.Minute

// LineError reports a line of a scenario that can't be parsed.
type LineError struct {
	File string // world, script or expect
	Line string
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("%s: %q: %v", e.File, e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// ErrUnknownVerb reports a line whose verb is not a known declaration, action or
// expectation.
var ErrUnknownVerb = errors.New("unknown verb")

// Run runs a scenario with a seed and writes the controllers' logs to log. Running
// the same scenario with the same seed again repeats the run exactly. Run returns a
// *LineError if a line of the scenario can't be parsed.
func Run(archive *txtar.Archive, seed uint64, log io.Writer) (*Result, error) {
	files := map[string][]string{}
	for _, file := range archive.Files {
		files[file.Name] = statementLines(file.Data)
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

// schedule parses the script and schedules its actions. Each line holds a time, an action
// and its arguments. schedule returns the end time of the scenario.
func (s *simulation) schedule(script []string) (end time.Duration, err error) {
	end = defaultEnd
	for _, text := range script {
		timeText, rest, _ := strings.Cut(text, " ")
		line := parseStatement(rest)
		eventTime := line.duration(timeText)
		if line.verb == verbEnd {
			end = eventTime
			continue
		}
		parse, ok := actions[line.verb]
		if !ok {
			return 0, &LineError{File: fileScript, Line: text, Err: ErrUnknownVerb}
		}
		apply := parse(s, line)
		if line.err != nil {
			return 0, &LineError{File: fileScript, Line: text, Err: line.err}
		}
		s.after(eventTime, apply)
	}
	return end, nil
}

// unmetExpectations checks the expectations at the end of the scenario and returns the
// failed expectations.
func (s *simulation) unmetExpectations(expect []string) (unmet []string, err error) {
	for _, text := range expect {
		line := parseStatement(text)
		check, ok := expectations[line.verb]
		if !ok {
			return nil, &LineError{File: fileExpect, Line: text, Err: ErrUnknownVerb}
		}
		problem := check(s, line)
		if line.err != nil {
			return nil, &LineError{File: fileExpect, Line: text, Err: line.err}
		}
		if problem != "" {
			unmet = append(unmet, fmt.Sprintf("%s: %s", text, problem))
		}
	}
	return unmet, nil
}
