// Package compatibility holds the tests that this version and the one in production,
// named in deploy/service.toml, read each other's records and messages: while a cluster
// is upgraded both run side by side.
package compatibility
