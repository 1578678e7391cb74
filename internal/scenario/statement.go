package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// statement is one parsed line of a scenario: a verb, positional arguments and name=value
// pairs. err is the first error found in an argument.
type statement struct {
	verb  string
	args  []string
	pairs map[string]string
	err   error
}

func parseStatement(text string) *statement {
	line := &statement{pairs: map[string]string{}}
	for i, field := range strings.Fields(text) {
		name, value, isPair := strings.Cut(field, "=")
		switch {
		case i == 0:
			line.verb = field
		case isPair:
			line.pairs[name] = value
		default:
			line.args = append(line.args, field)
		}
	}
	return line
}

// arg returns the positional argument with index i. A missing argument is an error.
func (line *statement) arg(i int) string {
	if i >= len(line.args) {
		line.fail("%s: argument %d is missing", line.verb, i+1)
		return ""
	}
	return line.args[i]
}

// text returns the value of a pair, or the fallback if the pair is missing.
func (line *statement) text(name, fallback string) string {
	if value, ok := line.pairs[name]; ok {
		return value
	}
	return fallback
}

// flag reports whether a pair is present and its value is not empty.
func (line *statement) flag(name string) bool { return line.text(name, "") != "" }

// list returns the comma-separated values of a pair, or nil if the pair is missing or empty.
func (line *statement) list(name string) []string {
	value := line.text(name, "")
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// number returns the value of a pair as a number, or the fallback if the pair is missing.
func (line *statement) number(name string, fallback float64) float64 {
	value, ok := line.pairs[name]
	if !ok {
		return fallback
	}
	return line.parseNumber(value)
}

// numbers returns the comma-separated numbers of a pair, or nil if the pair is missing or
// empty.
func (line *statement) numbers(name string) (numbers []float64) {
	for _, value := range line.list(name) {
		numbers = append(numbers, line.parseNumber(value))
	}
	return numbers
}

func (line *statement) parseNumber(value string) float64 {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		line.fail("%s: %w", line.verb, err)
	}
	return number
}

// duration parses a duration such as 20s.
func (line *statement) duration(value string) time.Duration {
	duration, err := time.ParseDuration(value)
	if err != nil {
		line.fail("%s: %w", line.verb, err)
	}
	return duration
}

// fail records an error of the line, unless an earlier error is recorded.
func (line *statement) fail(format string, args ...any) {
	if line.err == nil {
		line.err = fmt.Errorf(format, args...)
	}
}

// statementLines returns the lines of a file without comments and empty lines.
func statementLines(data []byte) []string {
	var lines []string
	for text := range strings.Lines(string(data)) {
		text, _, _ = strings.Cut(text, "#")
		if text = strings.TrimSpace(text); text != "" {
			lines = append(lines, text)
		}
	}
	return lines
}
