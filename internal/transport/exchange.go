package transport

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"rockrun/internal/coordination/api"
)

// answerTimeout is how long a request may wait for the controller's answer. It is shorter than
// the time that clients wait: users 5 s, agents 4 s.
const answerTimeout = 3500 * time.Millisecond

// dispatch runs a request on the loop. If the loop's queue is full, it replies that the
// controller is busy and when to retry.
func (s *Server) dispatch(reply func(api.Answer), request func()) {
	if !s.Loop.TryPost(request) {
		reply(busyAnswer())
	}
}

// query computes an answer on the loop and waits for it.
func (s *Server) query(compute func() api.Answer) api.Answer {
	return awaitAnswer(func(reply func(api.Answer)) {
		s.dispatch(reply, func() { reply(compute()) })
	})
}

// awaitAnswer runs a request and waits for its answer, or answers busy after answerTimeout.
// Later answers are discarded.
func awaitAnswer(run func(reply func(api.Answer))) api.Answer {
	answers := make(chan api.Answer, 1)
	run(func(answer api.Answer) {
		select {
		case answers <- answer:
		default:
		}
	})
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C:
		return busyAnswer()
	}
}

// busyAnswer tells the client that the controller is overloaded and when to retry.
func busyAnswer() api.Answer { return api.FromError(&api.RetryLaterError{Reason: api.ErrBusy}) }

// writeAnswer writes an answer to the client. Retry-After is rounded up to whole seconds.
func writeAnswer(ctx *fiber.Ctx, answer api.Answer) error {
	if answer.RetryAfter > 0 {
		ctx.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(answer.RetryAfter.Seconds()))))
	}
	ctx.Status(answer.Status)
	if answer.Body == nil {
		return nil
	}
	data, err := json.Marshal(answer.Body)
	if err != nil {
		return err
	}
	ctx.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return ctx.Send(data)
}
