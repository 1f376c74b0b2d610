package serve

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/strict"
)

// readBody returns the body of a call. It fails if the body is longer than limit
// bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit endive.Bytes) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, tooLarge(limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var exceeded *http.MaxBytesError
	if errors.As(err, &exceeded) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, &apiv1.Error{Code: apiv1.CodeInvalid, Message: "the body was truncated; nothing was done", Next: "Send it again."}
	}
	return body, nil
}

// tooLarge returns the error for a body longer than limit bytes.
func tooLarge(limit endive.Bytes) *apiv1.Error {
	return &apiv1.Error{
		Code: apiv1.CodeTooLarge, Message: fmt.Sprintf("the body is longer than %d bytes; nothing was done", limit),
		Next: "Store large data in the object store and send the object's name.",
	}
}

// readJSON decodes the body of a call into a struct. It returns the findings
// about the body; fields without findings are filled in.
func readJSON(w http.ResponseWriter, r *http.Request, limit endive.Bytes, into any) (strict.Result, error) {
	body, err := readBody(w, r, limit)
	if err != nil {
		return strict.Result{}, err
	}
	return strict.JSON(body, into), nil
}

// readHeaders returns the values of the known headers of the API. It adds a finding
// for each other header whose name begins with Endive-, and for each that occurs
// more than once.
func readHeaders(f *endive.Findings, header http.Header, known ...string) map[string]string {
	values := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		if name == "Idempotency-Key" {
			f.Add("header "+name, "isn't supported; send the idempotency key in %s", apiv1.HeaderKey)
		}
		if !strings.HasPrefix(name, "Endive-") {
			continue
		}
		switch list := header[name]; {
		case !slices.Contains(known, name):
			f.Add("header "+name, "is unknown for this call; the nearest known header is %q", strict.Nearest(name, known))
		case len(list) > 1:
			f.Add("header "+name, "is given %d times", len(list))
		default:
			values[name] = list[0]
		}
	}
	return values
}

// readTimeout returns the deadline from the timeout header, or fallback if the
// header is missing or invalid.
func readTimeout(f *endive.Findings, values map[string]string, now, fallback time.Time) time.Time {
	text, ok := values[apiv1.HeaderTimeout]
	if !ok {
		return fallback
	}
	var timeout endive.Interval
	if err := timeout.UnmarshalText([]byte(text)); err != nil || timeout <= 0 || timeout > endive.MaxTimeout {
		f.Add("header "+apiv1.HeaderTimeout, `is %q; write a time such as "800ms" or "2s", above 0 and at most %s`, strict.Shorten(text), endive.MaxTimeout)
		return fallback
	}
	return timeout.After(now)
}

// readQuery returns the values of the known query parameters. It adds a finding
// for each other parameter, and for each that occurs more than once.
func readQuery(f *endive.Findings, r *http.Request, known ...string) map[string]string {
	values := make(map[string]string)
	query := r.URL.Query()
	for _, name := range slices.Sorted(maps.Keys(query)) {
		switch list := query[name]; {
		case !slices.Contains(known, name):
			place := "query " + strict.Shorten(name)
			if len(known) == 0 {
				f.Add(place, "is unknown; this call has no query parameters")
				continue
			}
			f.Add(place, "is unknown; the nearest known parameter is %q", strict.Nearest(name, known))
		case len(list) > 1:
			f.Add("query "+name, "is given %d times", len(list))
		default:
			values[name] = list[0]
		}
	}
	return values
}
