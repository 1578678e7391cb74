// Package architecture holds the tests of two pages. Of docs/architecture.md: that packages import
// each other only in the order in which the page lists them, and that all names on it exist. Of
// docs/operations.md: that it lists the events of the log as they are.
// It has no code of its own and nothing may import it.
package architecture
