// Package api defines the answers of controllers to requests over HTTP: Answer, the errors
// of requests that fail, and FromError, which alone translates an error into a status, a body
// and a Retry-After header. The error texts in the bodies are part of the interface to users
// and agents.
package api
