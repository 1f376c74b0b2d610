package serve

import (
	"context"
	"net/http"

	"endiveroute.example/endive"
)

// handleRead serves a call without arguments. It answers with the result of the
// function read.
func handleRead(w http.ResponseWriter, r *http.Request, read func(context.Context) (any, error)) error {
	var f endive.Findings
	readQuery(&f, r)
	readHeaders(&f, r.Header)
	if err := f.Err(); err != nil {
		return err
	}
	body, err := read(r.Context())
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, body)
	return nil
}
