// Package loop holds what the components of a controller need to work on its single
// goroutine: the clock, the generation whose end drops the callbacks still under way,
// calls that are tried again after a pause, conditions that must hold for a while, and a
// token bucket. Nothing here is safe for use by several goroutines, and nothing blocks.
package loop
