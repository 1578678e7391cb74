// Package scenario runs fault-injection scenarios in virtual time. Real controllers run
// against fakes of the key-value store, the cloud, the agents and the users. The fakes
// follow the protocol and can be made to fail. A checker verifies every rule of the
// protocol.
//
// # Files
//
// A scenario is a txtar archive with a comment that describes its purpose and three files:
//
//   - world describes the cluster, one declaration per line (see declarations).
//   - script schedules events, one per line: a time such as 20s, an action (see actions)
//     and its arguments. The verb "end" ends the scenario.
//   - expect lists the conditions that must hold at the end, one expectation per line
//     (see expectations).
//
// Arguments are positional or name=value; # starts a comment. The tables named above list
// the verbs, and the function of each verb parses its arguments. Controllers are named a,
// b, c and so on, machines m-000000, m-000001 and so on, and jobs run-1, run-2 and so on.
// A script can also select controllers by role: leader, holder:N (the holder of shard N),
// all, and healthy (the controllers that the store serves). The name some, with share=
// and zone=, selects a random share of the machines.
//
// # Faults
//
// These actions inject faults, grouped by target:
//
//   - Controllers: crash, stop, start, pause and upgrade; partition and heal, which cut and
//     restore a part of a controller's network (store, peers, agents or all); and
//     zone-partition, which isolates a zone.
//   - Machines: machine-pause, machine-restart, machine-crash, machine-partition,
//     machine-faulty, machine-slow, inbound-partition, outbound-partition, and reclaim by
//     the cloud.
//   - Messages: command-latency, delayed-commands, duplicate-commands, duplicate-heartbeats
//     and replay-heartbeats.
//   - Store: store-outage, store-latency, store-lost-answers and store-lower-limits.
//   - Cloud: cloud-outage, cloud-lost-answers and boot-failures.
//   - Users: invalid-requests, read-your-writes, cancel-running and cancel-on-completion.
//
// The inject-* actions deliberately break a rule to show that the checker detects it. After
// check-liveness, polls must be answered again, and no job that could run may stay without a
// running task for long.
//
// # Repeatability
//
// All random numbers derive from the seed and are drawn in the order of events. The order of
// draws and of events is therefore part of the behaviour that testdata/digests.txt records.
package scenario
