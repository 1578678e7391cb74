// Package reconcile makes the machines of the shards that this controller holds run what
// the records say they should. A Reconciler compares desired tasks with those that the
// agents report, sends commands, writes intents before starts and completions after ends,
// and ends jobs whose tasks are all done. It never starts a task that the records do not
// name, and counts a task as gone only when that is proven.
package reconcile
