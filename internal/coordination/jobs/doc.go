// Package jobs answers users' requests: it accepts submissions, reports the status of jobs
// and cancels them. All three are idempotent, because transactions on the job's records
// decide: a job is accepted when its record is created, and it ends when a single
// transaction, with the version of that record as its precondition, replaces the record by
// the final record.
//
// The package also follows dependencies between jobs: it reads the final records of jobs on
// which unfinished jobs depend, writes the final records of jobs that are cancelled because
// a dependency was cancelled, and notifies the other controllers of cancellations.
//
// Service lasts for the life of the process. Its caches of final records and submissions
// stay valid when the view is rebuilt, and a request that is in progress when a generation
// ends continues with the next. Reads of outcomes, notices to peers and writes of final
// records belong to one generation.
package jobs
