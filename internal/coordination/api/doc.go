// Package api holds what controllers answer to requests over HTTP: the Answer, the errors
// that stand behind answers other than success, and the one place that turns an error
// into a status, a body and a Retry-After. The texts of the bodies are part of the
// interface: users and agents see them as they stand here.
package api
