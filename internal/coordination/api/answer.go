package api

import (
	"errors"
	"net/http"
	"time"

	"rockrun/internal/protocol"
)

// Answer is the answer to a request over HTTP.
type Answer struct {
	Status     int
	Body       any           // encoded as JSON; nil: no body
	RetryAfter time.Duration // sent as Retry-After, rounded up to whole seconds; 0: no header
}

// OK returns the answer to a request that was executed.
func OK(body any) Answer { return Answer{Status: http.StatusOK, Body: body} }

// Created returns the answer to a request that created a durable record.
func Created(body any) Answer { return Answer{Status: http.StatusCreated, Body: body} }

// FromError returns the answer to a request that failed. An error that is neither from this
// package nor a protocol.ErrMalformed is a fault of the program and becomes status 500.
func FromError(err error) Answer {
	var (
		retryLater    *RetryLaterError
		unsatisfiable *UnsatisfiableError
		notFound      *NotFoundError
		redirect      *RedirectError
		overload      *OverloadError
		status        *StatusError
	)
	switch {
	case errors.As(err, &retryLater):
		return Answer{Status: http.StatusServiceUnavailable, Body: errorBody(string(retryLater.Reason)), RetryAfter: retryLater.retryAfter()}
	case errors.As(err, &unsatisfiable):
		return Answer{Status: http.StatusUnprocessableEntity, Body: errorBody(string(unsatisfiable.Reason))}
	case errors.As(err, &notFound):
		return Answer{Status: http.StatusNotFound, Body: errorBody(notFound.Error())}
	case errors.As(err, &redirect):
		return Answer{Status: http.StatusMisdirectedRequest, Body: protocol.Redirect{Controller: redirect.Controller}}
	case errors.As(err, &overload):
		return Answer{Status: http.StatusTooManyRequests, Body: errorBody(overload.Error()), RetryAfter: defaultRetryAfter}
	case errors.As(err, &status):
		return Answer{Status: status.Status, Body: errorBody(status.Error())}
	case errors.Is(err, ErrUnhealthy):
		return Answer{Status: http.StatusServiceUnavailable, RetryAfter: defaultRetryAfter}
	case errors.Is(err, protocol.ErrMalformed):
		return Answer{Status: http.StatusBadRequest, Body: errorBody(err.Error())}
	}
	return FromError(&StatusError{Status: http.StatusInternalServerError, Cause: err})
}

func errorBody(text string) protocol.ErrorBody { return protocol.ErrorBody{Error: text} }
