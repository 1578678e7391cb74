// Package storage defines the replicated state of the cluster: the types, keys and
// encoding of the durable records, and the View built from them. It does no I/O and
// reads no clock.
//
// Only Apply and Remove fill a View. They are called in the order in which the key-value
// store made the changes, except during the first read, which returns records in the
// order of their keys: a record may then name a job or a machine whose own record is
// read later. Everything runs on the controller's event loop: nothing in this package is
// safe for concurrent use.
//
// # The life cycle of a job
//
// A Job is a row of the View. Its state is not stored but derived from the records:
//
//   - active (Job.Active): the job has a record (JobKey) and is not known to be cancelled.
//   - awaiting dependencies (Job.AwaitsDependencies): at least one job that it depends on
//     is not known to be done. None of its tasks starts.
//   - runnable (Job.Runnable): the job is active and awaits no dependencies.
//   - cancelled: its own final record, or that of a job that it depends on, says so, or
//     the controller that made the cancellation durable reported it (View.MarkCancelled).
//     The job's record is removed later, in the transaction that writes its final record.
//   - ended (Job.Ended): the job's record has been replaced by a final record (FinalKey)
//     that says whether the job was done or cancelled. Final records are not part of the
//     View; those of jobs that others depend on are read one by one (View.SetOutcome).
//   - deleted: no record, intent, completion, attempt or dependent names the ended job
//     any more; its row and its index are free (View.DeleteJobIfUnreferenced).
//
// A row without a record is therefore either an ended job or a job that another record
// named before the job's own record was read.
package storage
