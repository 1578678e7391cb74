// Package reconcile brings the machines of the shards that this controller holds to the
// state that the records describe. A Reconciler compares the desired tasks with the tasks
// that agents report, sends commands, writes an intent before each start and a completion
// after each success, and ends jobs whose tasks are all done. It starts only tasks that the
// records name, and treats an attempt as terminated only when an agent or the records prove
// it.
package reconcile
