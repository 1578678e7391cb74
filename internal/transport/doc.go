// Package transport connects a controller to other processes. It contains the HTTP server for
// users, agents and operators with its admission control, the link between controllers, the
// pooled HTTP client with the asynchronous calls made over it, the metrics, and the event loop
// on which a controller makes all its decisions.
//
// Blocking operations run on goroutines of this package. Requests and the results of calls
// are delivered to the controller on its Loop.
package transport
