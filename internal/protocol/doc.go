// Package protocol holds everything that crosses a wire: the types users,
// workers, the cloud and the state service exchange with rockrun, their
// validation, the typed clients, and the messages controllers send each other.
// It is the only package in which wire names appear; the rest of the program
// uses the field's usual words (job, task, machine, lease, fencing token).
package protocol
