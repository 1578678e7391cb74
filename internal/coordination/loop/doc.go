// Package loop provides the building blocks for components that run on the single goroutine
// of a controller: the clock, generations that discard pending callbacks when they end, the
// state of calls with a delay between attempts, windows that track how long a condition has
// held, and a token bucket. Its types are not safe for concurrent use, and no function blocks.
package loop
