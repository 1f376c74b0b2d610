package rows

import (
	"context"
	"encoding/json"
	"net/http"

	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/serve"
	"endiveroute.example/endive/table"
)

// Handle implements serve.Handler.
func (t *Table) Handle(_ context.Context, r serve.Request) serve.Answer {
	if r.Method != http.MethodPost {
		return serve.Text(http.StatusMethodNotAllowed, "only POST is allowed")
	}
	switch r.Path {
	case "/v1/commit":
		return t.handleCommit(r.Body)
	case "/v1/read":
		return t.handleRead(r.Body)
	case "/v1/scan":
		return t.handleScan(r.Body)
	}
	return serve.Text(http.StatusNotFound, "no such path: "+r.Path)
}

func (t *Table) handleCommit(body []byte) serve.Answer {
	var txn endive.Transaction
	if err := json.Unmarshal(body, &txn); err != nil {
		return serve.Text(http.StatusBadRequest, err.Error())
	}
	if txn.WriteID == "" || len(txn.Writes) == 0 {
		return serve.Text(http.StatusBadRequest, "a transaction needs a writeId and writes")
	}
	if !t.admitWrite() {
		return serve.Text(http.StatusServiceUnavailable, "write rate limit exceeded")
	}
	result, conflicts := t.commit(txn)
	if len(conflicts) > 0 {
		return serve.JSON(http.StatusConflict, table.Rows{Rows: conflicts})
	}
	return serve.JSON(http.StatusOK, result)
}

func (t *Table) handleRead(body []byte) serve.Answer {
	var request table.ReadRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return serve.Text(http.StatusBadRequest, err.Error())
	}
	if !t.admitRead() {
		return serve.Text(http.StatusServiceUnavailable, "read rate limit exceeded")
	}
	return serve.JSON(http.StatusOK, table.Rows{Rows: t.read(request.Keys)})
}

func (t *Table) handleScan(body []byte) serve.Answer {
	var request table.ScanRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return serve.Text(http.StatusBadRequest, err.Error())
	}
	if !t.admitRead() {
		return serve.Text(http.StatusServiceUnavailable, "read rate limit exceeded")
	}
	return serve.JSON(http.StatusOK, t.scan(request.Prefix, request.After))
}
