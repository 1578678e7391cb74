package protocol

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// validSubmission returns a complete submission, as a map so that test cases can change fields.
func validSubmission() map[string]any {
	return map[string]any{
		"id": "run-000412", "lane": "train", "crew": "vision", "shape": "sweep", "rank": "urgent", "pieces": 16,
		"vcpus": 8.0, "gpus": 1.0, "ramGb": 64.0, "bundle": "img-07", "sizeGb": 6.2,
		"builds": []string{"g8"}, "yard": nil, "together": true, "spread": false, "loaner": true,
		"guessS": 240.0, "markS": 30.0, "stashS": 4.0, "dueS": 900.0,
	}
}

func TestParseSubmission(t *testing.T) {
	cases := []struct {
		name   string
		change func(m map[string]any)
		ok     bool
	}{
		{"unchanged", func(map[string]any) {}, true},
		{"unknown field", func(m map[string]any) { m["new"] = 1 }, true},
		{"nullable fields missing", func(m map[string]any) { delete(m, "yard"); delete(m, "builds"); delete(m, "dueS") }, true},
		{"nullable fields null", func(m map[string]any) { m["yard"], m["builds"], m["dueS"] = nil, nil, nil }, true},
		{"maximum number of tasks", func(m map[string]any) { m["pieces"] = 100000 }, true},
		{"too many tasks", func(m map[string]any) { m["pieces"] = 100001 }, false},
		{"no tasks", func(m map[string]any) { m["pieces"] = 0 }, false},
		{"fractional number of tasks", func(m map[string]any) { m["pieces"] = 1.5 }, false},
		{"no id", func(m map[string]any) { delete(m, "id") }, false},
		{"invalid id", func(m map[string]any) { m["id"] = "job 7" }, false},
		{"unknown kind", func(m map[string]any) { m["shape"] = "circle" }, false},
		{"unknown priority", func(m map[string]any) { m["rank"] = "top" }, false},
		{"negative amount", func(m map[string]any) { m["ramGb"] = -1 }, false},
		{"string instead of a number", func(m map[string]any) { m["vcpus"] = "8" }, false},
		{"missing flag", func(m map[string]any) { delete(m, "spread") }, false},
		{"null in a required field", func(m map[string]any) { m["guessS"] = nil }, false},
		{"empty list of types", func(m map[string]any) { m["builds"] = []string{} }, false},
		{"no resources", func(m map[string]any) { m["vcpus"], m["gpus"], m["ramGb"] = 0, 0, 0 }, false},
		{"null dependencies", func(m map[string]any) { m["waitsOn"] = nil }, true},
		{"empty list of dependencies", func(m map[string]any) { m["waitsOn"] = []string{} }, true},
		{"dependencies", func(m map[string]any) { m["waitsOn"] = []string{"run-000398", "run-000405"} }, true},
		{"dependencies not a list", func(m map[string]any) { m["waitsOn"] = "run-000398" }, false},
		{"numbers as dependencies", func(m map[string]any) { m["waitsOn"] = []int{398} }, false},
		{"null as a dependency", func(m map[string]any) { m["waitsOn"] = []any{nil} }, false},
		{"invalid dependency id", func(m map[string]any) { m["waitsOn"] = []string{"run-000398", "job-7"} }, false},
		{"name too long", func(m map[string]any) { m["crew"] = strings.Repeat("x", 201) }, false},
		{"body too large", func(m map[string]any) { m["pad"] = strings.Repeat("x", MaxBody) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fields := validSubmission()
			c.change(fields)
			body, err := json.Marshal(fields)
			if err != nil {
				t.Fatal(err)
			}
			spec, err := ParseSubmission(body)
			if c.ok != (err == nil) {
				t.Fatalf("error %v", err)
			}
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Errorf("%v does not wrap ErrMalformed", err)
			}
			if err == nil && (spec.ID != "run-000412" || spec.CPUs != 8 || !spec.Spot || spec.SaveSeconds != 4) {
				t.Errorf("parsed as %+v", spec)
			}
		})
	}
	for _, body := range []string{"", "null", "[]", "7", `"x"`, "{", `{"id":}`} {
		if _, err := ParseSubmission([]byte(body)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v", body, err)
		}
	}
}

// TestParseSubmissionDependencies checks that duplicates are removed, and that null and an empty
// list both mean no dependencies.
func TestParseSubmissionDependencies(t *testing.T) {
	for _, c := range []struct {
		given any
		want  []string
	}{
		{nil, nil}, {[]string{}, nil}, {[]string{"run-2", "run-1", "run-2"}, []string{"run-2", "run-1"}},
	} {
		fields := validSubmission()
		fields["waitsOn"] = c.given
		body, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		spec, err := ParseSubmission(body)
		if err != nil || !slices.Equal(spec.Dependencies, c.want) {
			t.Errorf("%v: parsed as %v, error %v", c.given, spec, err)
		}
	}
	fields := validSubmission()
	fields["waitsOn"] = []string{"x"}
	body, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseSubmission(body); err == nil || !strings.Contains(err.Error(), "waitsOn") {
		t.Errorf("error %v does not name the field", err)
	}
}

// FuzzSubmission checks that every body is either rejected as malformed or parsed to a job that
// is unchanged after encoding and decoding.
func FuzzSubmission(f *testing.F) {
	for _, dependencies := range []any{nil, []string{"run-1"}, []string{"run-1", "run-1", "x"}, 7, []any{nil}} {
		fields := validSubmission()
		fields["waitsOn"] = dependencies
		body, err := json.Marshal(fields)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, err := ParseSubmission(body)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("%v does not wrap ErrMalformed", err)
			}
			return
		}
		for i, id := range spec.Dependencies {
			if !ValidJobID(id) || slices.Contains(spec.Dependencies[:i], id) {
				t.Fatalf("invalid or duplicate ID in dependencies %q", spec.Dependencies)
			}
		}
		record, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		var decoded JobSpec
		if err := Decode(record, &decoded); err != nil || !reflect.DeepEqual(*spec, decoded) {
			t.Fatalf("%+v was decoded as %+v, error %v", *spec, decoded, err)
		}
	})
}
