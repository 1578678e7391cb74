package architecture

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	modulePath = "rockrun"
	root       = "../.."
	pagePath   = "docs/architecture.md"
)

// page holds the text of docs/architecture.md and its sections.
type page struct {
	text     string
	sections map[string]string // body by title, without the title line
}

func parsePage(text string) page {
	p := page{text: text, sections: map[string]string{}}
	for _, section := range strings.Split("\n"+text, "\n## ")[1:] {
		title, body, _ := strings.Cut(section, "\n")
		p.sections[title] = body
	}
	return p
}

func readPage(t *testing.T) page {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, pagePath))
	if err != nil {
		t.Fatal(err)
	}
	return parsePage(string(text))
}

// packages lists the package directories in the indented list of the section "Packages", in the
// order of the page.
func (p page) packages() []string {
	var dirs []string
	for line := range strings.Lines(p.sections["Packages"]) {
		if fields := strings.Fields(line); strings.HasPrefix(line, "    ") && len(fields) > 1 {
			dirs = append(dirs, fields[0])
		}
	}
	return dirs
}

// owners lists the names in the second column of the table in "Who owns which state".
func (p page) owners() []string {
	var names []string
	for line := range strings.Lines(p.sections["Who owns which state"]) {
		if cells := strings.Split(line, "|"); len(cells) > 3 {
			names = append(names, quotedNames(cells[2])...)
		}
	}
	return names
}

var backticked = regexp.MustCompile("`([^`\n]+)`")

// quotedNames lists the texts in backticks.
func quotedNames(text string) []string {
	var names []string
	for _, match := range backticked.FindAllStringSubmatch(text, -1) {
		names = append(names, match[1])
	}
	return names
}

func TestParsePage(t *testing.T) {
	p := parsePage(strings.Join([]string{
		"# Architecture", "`intro`", "## Packages", "Text with `a/b`.", "",
		"    internal/low     first", "    internal/high    second", "",
		"## Who owns which state", "| state | owner | others |", "| --- | --- | --- |",
		"| records | `low`, by `high` | `neither` |", "| requests | the user | |",
	}, "\n"))
	if got := strings.Join(p.packages(), " "); got != "internal/low internal/high" {
		t.Errorf("packages: got %s", got)
	}
	if got := strings.Join(p.owners(), " "); got != "low high" {
		t.Errorf("owners: got %s", got)
	}
	if got := strings.Join(quotedNames(p.text), " "); got != "intro a/b low high neither" {
		t.Errorf("names in backticks: got %s", got)
	}
}
