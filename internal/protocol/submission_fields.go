package protocol

import "math"

// invalidJobIDProblem is the error text for a job ID that ValidJobID rejects.
const invalidJobIDProblem = "not of the form run-000412"

// fieldReader validates and copies the fields of a submission, and records the first error. A
// field that is nil is an error.
type fieldReader struct{ firstError *MalformedError }

func (r *fieldReader) fail(field, problem string) {
	if r.firstError == nil {
		r.firstError = &MalformedError{Field: field, Problem: problem}
	}
}

// name reads a string that must not be empty.
func (r *fieldReader) name(field string, given, into *string) {
	if given != nil && *given == "" {
		r.fail(field, "empty")
		return
	}
	r.text(field, given, into)
}

// text reads a string of at most maxNameBytes bytes.
func (r *fieldReader) text(field string, given, into *string) {
	switch {
	case given == nil:
		r.fail(field, "missing")
	case len(*given) > maxNameBytes:
		r.fail(field, "too long")
	default:
		*into = *given
	}
}

// names reads a non-empty list of names.
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

// amount reads a number between 0 and maxAmount.
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

// flag reads a boolean, which must be present even if it is false.
func (r *fieldReader) flag(field string, given, into *bool) {
	if given == nil {
		r.fail(field, "missing")
		return
	}
	*into = *given
}

// tasks reads the number of tasks.
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

// jobIDs reads a list of job IDs and removes duplicates.
func (r *fieldReader) jobIDs(field string, given []string) []string {
	var ids []string
	seen := make(map[string]bool, len(given))
	for _, id := range given {
		if !ValidJobID(id) {
			r.fail(field, invalidJobIDProblem)
			return nil
		}
		if !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}
