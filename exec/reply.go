package exec

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
)

// newReply converts the response or error of an attempt to a Reply.
func newReply(answer rest.Response, err error) endive.Reply {
	switch {
	case err == nil && answer.NotRun:
		return endive.Reply{
			Outcome: endive.NotRun,
			Status:  answer.Status,
			Leaving: answer.Leaving,
			Refused: true,
			Reason:  "refused by the executor",
		}
	case err == nil:
		return endive.Reply{
			Outcome: endive.Answered,
			Status:  answer.Status,
			Body:    answer.Body,
			Leaving: answer.Leaving,
		}
	case endive.ErrUnavailable.Has(err):
		return endive.Reply{Outcome: endive.NotRun, Reason: err.Error()}
	}
	return endive.Reply{Outcome: endive.Unknown, Ended: rest.ErrInvalidResponse.Has(err), Reason: err.Error()}
}
