package transport

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"

	"rockrun/internal/coordination/api"
)

// answerTime is how long a request may wait for the controller: users wait 5 s at most,
// agents 4 s.
const answerTime = 3500 * time.Millisecond

// post runs a request on the loop, or tells its sender to come back when the loop's queue is
// full.
func (s *Server) post(reply func(api.Answer), request func()) {
	if !s.Loop.TryPost(request) {
		reply(busy())
	}
}

// ask runs a question on the loop that is answered at once, and waits for the answer.
func (s *Server) ask(question func() api.Answer) api.Answer {
	return await(func(reply func(api.Answer)) {
		s.post(reply, func() { reply(question()) })
	})
}

// await runs a request and waits for its answer. A second answer, or one that comes too
// late, is dropped.
func await(run func(reply func(api.Answer))) api.Answer {
	answers := make(chan api.Answer, 1)
	run(func(answer api.Answer) {
		select {
		case answers <- answer:
		default:
		}
	})
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C:
		return busy()
	}
}

// busy tells a sender that the controller has too much to do.
func busy() api.Answer { return api.FromError(&api.RetryLaterError{Reason: api.ErrBusy}) }

// send writes an answer. Retry-After is in whole seconds, rounded up.
func send(ctx *fiber.Ctx, answer api.Answer) error {
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
