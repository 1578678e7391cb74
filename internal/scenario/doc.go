// Package scenario plays scenarios in virtual time: real controllers against fakes of the
// key-value store, the cloud, the agents and the users, which follow the protocol and can
// be made to fail. A checker watches every rule of the protocol.
//
// # Files
//
// A scenario is a txtar file: a comment that says what it shows, and three files.
//
//   - world says what there is, a declaration a line (see declarations);
//   - script says what happens when: a time such as 20s, an action (see actions) and its
//     arguments a line; "end" ends the scenario;
//   - expect says what must be true at the end, an expectation a line (see expectations).
//
// Arguments are positional or name=value; # begins a comment. The tables named above list
// the verbs, and the function behind each reads its arguments. Controllers are named a, b,
// c and so on, machines m-000000 and up, jobs run-1 and the like; a script also names
// controllers as leader, holder:N (the holder of shard N), all and healthy (those that the
// store serves), and machines as some, with share= and zone=.
//
// # Faults
//
// Controllers crash, stop, start, pause and upgrade; partition and heal take parts of their
// network (store, peers, agents, all), zone-partition that of a zone. Machines have
// machine-pause, machine-restart, machine-crash, machine-partition, machine-faulty,
// machine-slow, inbound-partition, outbound-partition, and are reclaimed by the cloud.
// Messages are subject to command-latency, delayed-commands, duplicate-commands,
// duplicate-heartbeats and replay-heartbeats; the store to store-outage, store-latency,
// store-lost-answers and store-lower-limits; the cloud to cloud-outage, cloud-lost-answers
// and boot-failures. Users send invalid-requests, probe read-your-writes, and cancel with
// cancel-running and cancel-on-completion. The inject-* actions break a rule on purpose, to
// show that the checker sees it; after check-liveness nothing may be left waiting.
//
// # Repeatability
//
// All randomness comes from the seed, in the order of events. The order of draws and of
// events is therefore part of the behaviour that testdata/digests.txt records.
package scenario
