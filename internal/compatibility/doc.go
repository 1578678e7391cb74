// Package compatibility tests that this version and the version in production, named in
// deploy/service.toml, read each other's records and messages. Both versions run side by side
// while a cluster is upgraded.
//
// The tests build the program reader in the sources of both versions. The reader prints what its
// version decodes. Both readers read the same two data sets: testdata/production, which the
// version in production wrote, and the data that this version writes during the test when it runs
// testdata/current.txtar. The tests fail on any line that differs, for example because a renamed
// field is left empty. A test of this version alone checks that no field of a message is lost in
// the conversion between the program's types and the wire types.
//
// When another version becomes the one in production, record testdata/production again as its
// README describes, and adapt records.go.txt there so that it compiles in the sources of that
// version.
package compatibility
