package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"endiveroute.example/endive"
	"endiveroute.example/endive/insts"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/fleet"
	"endiveroute.example/endive/stand/serve"
)

// detailedCountsQuery is the query string that requests the counts of each request
// and task.
const detailedCountsQuery = "detail=true"

// Handler implements serve.Handler for the control listener.
type Handler struct {
	counter Counter
	faults  *fault.Set
	list    *fleet.List
}

// New returns the handler of the control listener.
func New(counter Counter, faults *fault.Set, list *fleet.List) *Handler {
	return &Handler{counter: counter, faults: faults, list: list}
}

// Handle implements serve.Handler.
func (h *Handler) Handle(_ context.Context, r serve.Request) serve.Answer {
	id, hasID := strings.CutPrefix(r.Path, "/v1/instances/")
	switch {
	case r.Path == "/v1/counts" && r.Method == http.MethodGet:
		return serve.JSON(http.StatusOK, h.counter.Counts(r.Query == detailedCountsQuery))
	case r.Path == "/v1/faults":
		return h.handleFaults(r)
	case r.Path == "/v1/instances" && r.Method == http.MethodGet:
		return serve.JSON(http.StatusOK, insts.List{Instances: h.list.Current()})
	case r.Path == "/v1/instances" && r.Method == http.MethodPost:
		return h.putInstance(r.Body)
	case hasID && r.Method == http.MethodDelete:
		h.list.Remove(id)
		return serve.JSON(http.StatusOK, insts.List{Instances: h.list.Current()})
	}
	return serve.Text(http.StatusNotFound, "no such path: "+r.Method+" "+r.Path)
}

// handleFaults lists the faults (GET), switches one on or off (POST), or switches
// all off (DELETE).
func (h *Handler) handleFaults(r serve.Request) serve.Answer {
	switch r.Method {
	case http.MethodGet:
	case http.MethodDelete:
		h.faults.Clear()
		h.updateLeaving()
	case http.MethodPost:
		var sw fault.Switch
		if err := decode(r.Body, &sw); err != nil {
			return serve.Text(http.StatusBadRequest, err.Error())
		}
		var f endive.Findings
		if sw.On {
			sw.Validate(&f, "")
		}
		if err := f.Err(); err != nil {
			return serve.Text(http.StatusBadRequest, err.Error())
		}
		h.faults.Switch(sw)
		h.updateLeaving()
	default:
		return serve.Text(http.StatusMethodNotAllowed, "GET, POST and DELETE only")
	}
	return serve.JSON(http.StatusOK, h.faults.List())
}

// updateLeaving marks the workers and executors with fault Leaving as leaving on
// the instance list, and all others as not leaving.
func (h *Handler) updateLeaving() {
	for _, i := range h.list.Current() {
		if i.Kind == endive.KindEntry {
			continue
		}
		target := fault.Target{Part: fault.Part(i.Kind), Instance: i.ID, Region: i.Region}
		_, leaving := h.faults.On(target, fault.Leaving)
		h.list.SetLeaving(i.ID, leaving)
	}
}

func (h *Handler) putInstance(body []byte) serve.Answer {
	var i endive.Instance
	if err := decode(body, &i); err != nil {
		return serve.Text(http.StatusBadRequest, err.Error())
	}
	if i.ID == "" || i.Kind == "" {
		return serve.Text(http.StatusBadRequest, "an instance needs an id and a kind")
	}
	h.list.Put(i)
	return serve.JSON(http.StatusOK, insts.List{Instances: h.list.Current()})
}

// decode decodes JSON and rejects unknown fields.
func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	return d.Decode(into)
}
