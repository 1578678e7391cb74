// Package protocol owns everything that crosses a wire: the types that users, agents, the
// cloud and the key-value store exchange with rockrun, their validation, the typed clients
// of the cloud, the store and the agents, and the messages between controllers.
//
// It is the only package in which the wire's own names for things appear (lane, crew,
// baton, shift, ...), as JSON names and as the values of constants. The rest of the program
// uses the names of the glossary in docs/architecture.md.
//
// Amounts on the wire are floats in the unit that the field's name ends in: seconds, GB
// (memory, images) or GB per second; CPUs and GPUs are counts, possibly fractions.
package protocol
