package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// statement is one line of a scenario: a verb, positional arguments, and
// name=value pairs. The first argument that can't be read is kept as err.
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

func (line *statement) arg(i int) string {
	if i >= len(line.args) {
		line.fail("%s: argument %d is missing", line.verb, i+1)
		return ""
	}
	return line.args[i]
}

func (line *statement) text(name, fallback string) string {
	if v, ok := line.pairs[name]; ok {
		return v
	}
	return fallback
}

func (line *statement) number(name string, fallback float64) float64 {
	v, ok := line.pairs[name]
	if !ok {
		return fallback
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil {
		line.fail("%s: %v", line.verb, err)
	}
	return f
}

func (line *statement) duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		line.fail("%s: %v", line.verb, err)
	}
	return d
}

func (line *statement) fail(format string, args ...any) {
	if line.err == nil {
		line.err = fmt.Errorf(format, args...)
	}
}

// statements are a file's lines without comments and empty lines.
func statements(data []byte) []string {
	var out []string
	for _, text := range strings.Split(string(data), "\n") {
		text, _, _ = strings.Cut(text, "#")
		if text = strings.TrimSpace(text); text != "" {
			out = append(out, text)
		}
	}
	return out
}
