// Package jobs answers users: it accepts submissions, tells the status of jobs and cancels
// them. All three are idempotent, since what decides is a transaction on the job's
// records: one is accepted when its record is made, and it ends when that record is
// replaced by its final one, in one transaction under the version of the first.
//
// It also follows dependencies between jobs: it reads how the jobs ended that unfinished
// ones wait for, writes the final records of those cancelled with a dependency, and tells
// the other controllers of cancellations.
//
// Service belongs to the process. What it remembers of ended jobs and of submissions holds
// whatever has become of the view, and a request that is under way while a generation ends
// goes on with the next. Reads of outcomes, notices to peers and writes of final records
// belong to a generation.
package jobs
