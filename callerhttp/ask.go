package callerhttp

import (
	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

// ask handles GET /ask/SERVICE, which returns the hosts to use for a service.
func (f *Front) ask(c fiber.Ctx) error {
	reply := ring.New[dispatch.AskReply]("ask", 1)
	question := dispatch.Ask{Service: string([]byte(c.Params("service"))), Reply: reply}
	if err := f.Inputs.Offer(question); err != nil {
		return fail(c, caller.NotRun{Reason: caller.ReasonOverloaded}, err.Error())
	}
	answer, err := reply.Take(c.Context())
	if err != nil {
		return fail(c, caller.NotRun{Reason: caller.ReasonStopping}, err.Error())
	}
	if answer.Answer == nil {
		return fail(c, answer.Refusal, "no host can be named for this service")
	}

	return c.JSON(answer.Answer)
}
