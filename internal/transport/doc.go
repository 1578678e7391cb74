// Package transport connects a controller to the outside: the listener for users, agents and
// operators with its admission of requests, the link between controllers, the pooled HTTP
// client with the asynchronous calls made over it, the metrics, and the event loop on which
// all decisions of a controller are made.
//
// Everything that blocks runs on goroutines of this package; what a controller is told, it
// is told on its Loop.
package transport
