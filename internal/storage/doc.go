// Package storage holds what a controller knows of the cluster: the types, keys and
// encoding of the durable records, and the View that is read from them. It does no I/O
// and knows no clock.
//
// A View is filled by Apply and Remove alone, in the order in which the key-value store
// made the changes; records of the first reading come in the order of their keys, so
// that a record may name a job or a machine whose own record follows. Everything runs on
// the controller's event loop: nothing here may be used from two goroutines at a time.
//
// # The life of a job
//
// A Job is a row of the View. Where it stands is not stored but follows from the records:
//
//   - active (Job.Active): it has a record (JobKey) and is not known to be cancelled.
//   - awaiting dependencies (Job.AwaitsDependencies): some job that it depends on is not
//     known to be done. None of its tasks starts.
//   - runnable (Job.Runnable): active, and awaiting nothing.
//   - cancelled: its own final record or that of a job that it depends on says so, or the
//     controller that made the cancellation durable did (View.MarkCancelled). Its record
//     is removed later, with the write of its final record.
//   - ended (Job.Ended): its record is gone, replaced by a final record (FinalKey) that
//     says whether it was done or cancelled. Final records are not part of the View;
//     those of jobs that others depend on are read one by one (View.SetOutcome).
//   - forgotten: no record, intent, completion, attempt or dependent names an ended job
//     any more; its row and its index are free (View.ForgetJob).
//
// A row without a record is thus an ended job, or one that another record named first.
package storage
