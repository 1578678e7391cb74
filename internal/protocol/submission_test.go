package protocol

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// valid is a complete submission, as a map so that cases can change a field.
func valid() map[string]any {
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
		{"as it is", func(map[string]any) {}, true},
		{"unknown field", func(m map[string]any) { m["new"] = 1 }, true},
		{"nullable fields left out", func(m map[string]any) { delete(m, "yard"); delete(m, "builds"); delete(m, "dueS") }, true},
		{"nullable fields null", func(m map[string]any) { m["yard"], m["builds"], m["dueS"] = nil, nil, nil }, true},
		{"most tasks", func(m map[string]any) { m["pieces"] = 100000 }, true},
		{"too many tasks", func(m map[string]any) { m["pieces"] = 100001 }, false},
		{"no tasks", func(m map[string]any) { m["pieces"] = 0 }, false},
		{"half a task", func(m map[string]any) { m["pieces"] = 1.5 }, false},
		{"no id", func(m map[string]any) { delete(m, "id") }, false},
		{"other id", func(m map[string]any) { m["id"] = "job 7" }, false},
		{"unknown kind", func(m map[string]any) { m["shape"] = "circle" }, false},
		{"unknown priority", func(m map[string]any) { m["rank"] = "top" }, false},
		{"negative amount", func(m map[string]any) { m["ramGb"] = -1 }, false},
		{"text for a number", func(m map[string]any) { m["vcpus"] = "8" }, false},
		{"missing flag", func(m map[string]any) { delete(m, "spread") }, false},
		{"null where none may be", func(m map[string]any) { m["guessS"] = nil }, false},
		{"empty list of types", func(m map[string]any) { m["builds"] = []string{} }, false},
		{"nothing wanted", func(m map[string]any) { m["vcpus"], m["gpus"], m["ramGb"] = 0, 0, 0 }, false},
		{"null dependencies", func(m map[string]any) { m["waitsOn"] = nil }, true},
		{"empty list of dependencies", func(m map[string]any) { m["waitsOn"] = []string{} }, true},
		{"dependencies", func(m map[string]any) { m["waitsOn"] = []string{"run-000398", "run-000405"} }, true},
		{"dependencies that are no list", func(m map[string]any) { m["waitsOn"] = "run-000398" }, false},
		{"dependencies that are numbers", func(m map[string]any) { m["waitsOn"] = []int{398} }, false},
		{"a dependency that is null", func(m map[string]any) { m["waitsOn"] = []any{nil} }, false},
		{"a dependency of another form", func(m map[string]any) { m["waitsOn"] = []string{"run-000398", "job-7"} }, false},
		{"very long name", func(m map[string]any) { m["crew"] = strings.Repeat("x", 201) }, false},
		{"body too large", func(m map[string]any) { m["pad"] = strings.Repeat("x", MaxBody) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := valid()
			c.change(m)
			body, err := json.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			s, err := ParseSubmission(body)
			if c.ok != (err == nil) {
				t.Fatalf("error %v", err)
			}
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Errorf("%v does not wrap ErrMalformed", err)
			}
			if err == nil && (s.ID != "run-000412" || s.CPUs != 8 || !s.Spot || s.SaveSeconds != 4) {
				t.Errorf("read as %+v", s)
			}
		})
	}
	for _, body := range []string{"", "null", "[]", "7", `"x"`, "{", `{"id":}`} {
		if _, err := ParseSubmission([]byte(body)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v", body, err)
		}
	}
}

// TestDependenciesAreRead: a job that is named twice counts once, and no dependencies are none,
// however they are left out.
func TestDependenciesAreRead(t *testing.T) {
	for _, c := range []struct {
		given any
		want  []string
	}{
		{nil, nil}, {[]string{}, nil}, {[]string{"run-2", "run-1", "run-2"}, []string{"run-2", "run-1"}},
	} {
		m := valid()
		m["waitsOn"] = c.given
		body, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ParseSubmission(body)
		if err != nil || !slices.Equal(s.Dependencies, c.want) {
			t.Errorf("%v: read as %v, %v", c.given, s, err)
		}
	}
	m := valid()
	m["waitsOn"] = []string{"x"}
	body, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseSubmission(body); err == nil || !strings.Contains(err.Error(), "waitsOn") {
		t.Errorf("error %v does not name the field", err)
	}
}

// FuzzSubmission: whatever comes is either refused as malformed or read as a job that
// is written and read again unchanged.
func FuzzSubmission(f *testing.F) {
	for _, dependencies := range []any{nil, []string{"run-1"}, []string{"run-1", "run-1", "x"}, 7, []any{nil}} {
		m := valid()
		m["waitsOn"] = dependencies
		body, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseSubmission(body)
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatalf("%v does not wrap ErrMalformed", err)
			}
			return
		}
		for i, id := range s.Dependencies {
			if !ValidJobID(id) || slices.Contains(s.Dependencies[:i], id) {
				t.Fatalf("dependencies %q", s.Dependencies)
			}
		}
		record, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var again JobSpec
		if err := Decode(record, &again); err != nil || !reflect.DeepEqual(*s, again) {
			t.Fatalf("%+v was read again as %+v, %v", *s, again, err)
		}
	})
}
