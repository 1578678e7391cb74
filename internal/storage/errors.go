package storage

import "fmt"

// RecordError is returned by View.Apply for a record that cannot be applied. The view may
// afterwards contain new rows for the names in the record. The previous version of the
// record remains in effect.
type RecordError struct {
	Key string
	Err error // a MalformedError, or the JSON decoder's error
}

// Error returns the record's key and the cause.
func (e *RecordError) Error() string { return fmt.Sprintf("apply record %s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// MalformedError is returned for an invalid part of a key or record.
type MalformedError struct {
	What string // what the text should contain, such as "job ID"
	Text string
	Err  error // may be nil
}

// Error returns the expected content, the quoted text and the cause, if any.
func (e *MalformedError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("malformed %s %q: %v", e.What, e.Text, e.Err)
	}
	return fmt.Sprintf("malformed %s %q", e.What, e.Text)
}

// Unwrap returns the cause, or nil.
func (e *MalformedError) Unwrap() error { return e.Err }
