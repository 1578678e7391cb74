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

// page is the text of docs/architecture.md by section.
type page struct {
	text     string
	sections map[string]string // by title, without the line of the title
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

// packages lists the directories of the packages in the order of the page, from the indented
// list of the section "Packages".
func (p page) packages() []string {
	var dirs []string
	for line := range strings.Lines(p.sections["Packages"]) {
		if fields := strings.Fields(line); strings.HasPrefix(line, "    ") && len(fields) > 1 {
			dirs = append(dirs, fields[0])
		}
	}
	return dirs
}

// owners lists the names in the second column of the table "Who owns which state".
func (p page) owners() []string {
	var names []string
	for line := range strings.Lines(p.sections["Who owns which state"]) {
		if cells := strings.Split(line, "|"); len(cells) > 3 {
			names = append(names, quotedNames(cells[2])...)
		}
	}
	return names
}

var quoted = regexp.MustCompile("`([^`\n]+)`")

// quotedNames lists what stands in backticks.
func quotedNames(text string) []string {
	var names []string
	for _, match := range quoted.FindAllStringSubmatch(text, -1) {
		names = append(names, match[1])
	}
	return names
}

func TestPageIsParsed(t *testing.T) {
	p := parsePage(strings.Join([]string{
		"# Architecture", "`intro`", "## Packages", "Text with `a/b`.", "",
		"    internal/low     first", "    internal/high    second", "",
		"## Who owns which state", "| state | owner | others |", "| --- | --- | --- |",
		"| records | `low`, by `high` | `neither` |", "| wishes | the user | |",
	}, "\n"))
	if got := strings.Join(p.packages(), " "); got != "internal/low internal/high" {
		t.Errorf("packages: %s", got)
	}
	if got := strings.Join(p.owners(), " "); got != "low high" {
		t.Errorf("owners: %s", got)
	}
	if got := strings.Join(quotedNames(p.text), " "); got != "intro a/b low high neither" {
		t.Errorf("quoted: %s", got)
	}
}
