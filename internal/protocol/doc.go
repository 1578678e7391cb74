// Package protocol defines all messages of rockrun: the types exchanged with users, agents,
// the cloud and the key-value store, their validation, typed clients for the cloud, the store
// and the agents, and the messages between controllers.
//
// The terms of the wire format (lane, crew, baton, shift, ...) appear only in this package, as
// JSON names and as values of constants. The rest of the program uses the terms of the
// glossary in docs/architecture.md.
//
// Amounts on the wire are floats. The suffix of the field name gives the unit: seconds, GB
// (memory, images) or GB per second. CPUs and GPUs are counts and may be fractional.
package protocol
