package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
	"endiveroute.example/endive/stand/serve"
)

// Handle implements serve.Handler.
func (w *Worker) Handle(_ context.Context, r serve.Request) serve.Answer {
	answer := w.handle(r)
	answer.Header = http.Header{rest.HeaderClock: {w.clockReading(w.clock.Now())}}
	return answer
}

func (w *Worker) handle(r serve.Request) serve.Answer {
	now := w.clock.Now()
	switch {
	case r.Method == http.MethodGet && r.Path == "/v1/clock":
		return serve.Answer{Status: http.StatusOK}
	case r.Method != http.MethodPost || r.Path != "/v1/command":
		return serve.Text(http.StatusNotFound, "no such path: "+r.Method+" "+r.Path)
	case !w.beforeDeadline(r.Header.Get(rest.HeaderNotAfter), now):
		w.journal.updateWorker(w.id, func(c *WorkerCount) { c.TooLate++ })
		return serve.Text(http.StatusPreconditionFailed, "the command arrived after its deadline, or is meant for an earlier run of the worker")
	}
	var command endive.WorkerCommand
	if err := json.Unmarshal(r.Body, &command); err != nil {
		return serve.Text(http.StatusBadRequest, err.Error())
	}
	return serve.JSON(http.StatusOK, w.Command(command, now))
}

// runID returns the id of this run of the worker, which differs after a restart.
func (w *Worker) runID() string { return strconv.FormatInt(w.startTime.UnixNano(), 36) }

// clockReading returns the worker's clock at now, as "run:milliseconds" since the
// start of this run.
func (w *Worker) clockReading(now time.Time) string {
	return w.runID() + ":" + strconv.FormatInt(now.Sub(w.startTime).Milliseconds(), 10)
}

// beforeDeadline reports whether now is before notAfter, which must be a reading of
// the worker's clock from this run. The clock shows whole milliseconds, so the
// sender may have given the command up by the time the clock shows notAfter.
func (w *Worker) beforeDeadline(notAfter string, now time.Time) bool {
	run, text, _ := strings.Cut(notAfter, ":")
	millis, err := strconv.ParseInt(text, 10, 64)
	return err == nil && run == w.runID() && now.Sub(w.startTime).Milliseconds() < millis
}
