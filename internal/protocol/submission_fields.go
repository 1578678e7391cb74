package protocol

import "math"

// problemJobID is what is wrong with a job id of another form.
const problemJobID = "not of the form run-000412"

// fieldReader copies the fields of a submission that must be there and keeps the first
// fault.
type fieldReader struct{ fault *MalformedError }

func (r *fieldReader) fail(field, problem string) {
	if r.fault == nil {
		r.fault = &MalformedError{Field: field, Problem: problem}
	}
}

// name reads a text that may not be empty.
func (r *fieldReader) name(field string, given, into *string) {
	if given != nil && *given == "" {
		r.fail(field, "empty")
		return
	}
	r.text(field, given, into)
}

// text reads a text of bounded length.
func (r *fieldReader) text(field string, given, into *string) {
	switch {
	case given == nil:
		r.fail(field, "missing")
	case len(*given) > maxName:
		r.fail(field, "too long")
	default:
		*into = *given
	}
}

// names reads a list that may not be empty.
func (r *fieldReader) names(field string, given []string) []string {
	if len(given) == 0 {
		r.fail(field, "empty")
	}
	for i := range given {
		var checked string
		r.name(field, &given[i], &checked)
	}
	return given
}

// amount reads a number that is not negative and within reason.
func (r *fieldReader) amount(field string, given, into *float64) {
	switch {
	case given == nil:
		r.fail(field, "missing")
	case *given < 0 || *given > maxAmount || math.IsNaN(*given):
		r.fail(field, "out of range")
	default:
		*into = *given
	}
}

// flag reads a flag, which must be there even where it is false.
func (r *fieldReader) flag(field string, given, into *bool) {
	if given == nil {
		r.fail(field, "missing")
		return
	}
	*into = *given
}

// tasks reads a number of tasks.
func (r *fieldReader) tasks(field string, given *int64, into *int) {
	switch {
	case given == nil:
		r.fail(field, "missing")
	case *given < 1 || *given > MaxTasks:
		r.fail(field, "out of range")
	default:
		*into = int(*given)
	}
}

// jobIDs reads a list of jobs, of which each counts once.
func (r *fieldReader) jobIDs(field string, given []string) []string {
	var ids []string
	seen := make(map[string]bool, len(given))
	for _, id := range given {
		if !ValidJobID(id) {
			r.fail(field, problemJobID)
			return nil
		}
		if !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}
