package storage

import "fmt"

// RecordError is returned by View.Apply for a record that it can't take in. Rows that the
// record names may exist afterwards; what an earlier version of it said still counts.
type RecordError struct {
	Key string
	Err error // a MalformedError, or the JSON decoder's error
}

// Error names the record and the cause.
func (e *RecordError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// MalformedError is a part of a key or of a record that says nothing valid.
type MalformedError struct {
	What string // what the text should be
	Text string
	Err  error // may be nil
}

// Error names the part and quotes it.
func (e *MalformedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("malformed %s %q: %v", e.What, e.Text, e.Err)
	}
	return fmt.Sprintf("malformed %s %q", e.What, e.Text)
}

// Unwrap returns the cause, if there is one.
func (e *MalformedError) Unwrap() error { return e.Err }
