// Package architecture tests two pages against the code. For docs/architecture.md, the tests check
// that packages import each other only in the order in which the page lists them, and that all
// names on the page exist. For docs/operations.md, they check that the table of log events lists
// exactly the events that the program logs.
//
// The package contains only tests, and no package may import it.
package architecture
