package api

import (
	"errors"
	"net/http"
	"time"

	"rockrun/internal/protocol"
)

// Answer is what a request over HTTP gets.
type Answer struct {
	Status     int
	Body       any           // encoded as JSON; nil: none
	RetryAfter time.Duration // when to ask again, rounded up to whole seconds; 0: not said
}

// OK is the answer to a request that was carried out.
func OK(body any) Answer { return Answer{Status: http.StatusOK, Body: body} }

// Created is the answer to a request that made something durable.
func Created(body any) Answer { return Answer{Status: http.StatusCreated, Body: body} }

// FromError is the answer to a request that ended with an error. An error that is none of
// this package's, nor a protocol.ErrMalformed, is a fault of the program: 500.
func FromError(err error) Answer {
	var (
		retryLater    *RetryLaterError
		unsatisfiable *UnsatisfiableError
		notFound      *NotFoundError
		elsewhere     *ElsewhereError
		overload      *OverloadError
		status        *StatusError
	)
	switch {
	case errors.As(err, &retryLater):
		return Answer{Status: http.StatusServiceUnavailable, Body: errorBody(string(retryLater.Reason)), RetryAfter: retryLater.pause()}
	case errors.As(err, &unsatisfiable):
		return Answer{Status: http.StatusUnprocessableEntity, Body: errorBody(string(unsatisfiable.Reason))}
	case errors.As(err, &notFound):
		return Answer{Status: http.StatusNotFound, Body: errorBody(notFound.Error())}
	case errors.As(err, &elsewhere):
		return Answer{Status: http.StatusMisdirectedRequest, Body: protocol.Redirect{Controller: elsewhere.Controller}}
	case errors.As(err, &overload):
		return Answer{Status: http.StatusTooManyRequests, Body: errorBody(overload.Error()), RetryAfter: retryPause}
	case errors.As(err, &status):
		return Answer{Status: status.Status, Body: errorBody(status.Error())}
	case errors.Is(err, ErrUnhealthy):
		return Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryPause}
	case errors.Is(err, protocol.ErrMalformed):
		return Answer{Status: http.StatusBadRequest, Body: errorBody(err.Error())}
	}
	return FromError(&StatusError{Status: http.StatusInternalServerError, Cause: err})
}

func errorBody(text string) protocol.ErrorBody { return protocol.ErrorBody{Error: text} }
