// Package compatibility holds the tests that this version and the one in production,
// named in deploy/service.toml, read each other's records and messages: while a cluster
// is upgraded both run side by side.
//
// The comparison builds reader, a program that prints what a version understands, in the
// sources of both versions, and lets both read the same two folders: testdata/production,
// which the version in production wrote, and what this version writes on the day in
// testdata/ours.txtar. Any line that differs fails it, such as the one that a renamed
// field leaves empty. Beside it a test of this version alone proves that no field of a
// message is lost between the program's types and those of the link.
//
// When another version goes to production, testdata/production is recorded anew as its
// README says, and records.go.txt there is made to compile in that version's sources.
package compatibility
