package serve

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/setup"
)

// TestInvalidInput checks that invalid input is answered with all findings and is
// never passed to the Backend.
func TestInvalidInput(t *testing.T) {
	tests := []struct {
		name   string
		call   testCall
		status int
		// want holds the findings, or the message of an error without findings.
		want []string
	}{
		{"ask", testCall{"POST", "/v1/services/Quote/requests?wait=1", "", []string{
			"Endive-Timeout", "-1s", "Endive-Key", "a/b", "Endive-Key", "c", "Idempotency-Key", "x", "Endive-Non-Idempotent", "yes", "Endive-Timout", "1s",
		}}, 400, []string{
			"query wait: is unknown; this call has no query parameters",
			"header Endive-Key: is given 2 times",
			`header Endive-Timout: is unknown for this call; the nearest known header is "Endive-Timeout"`,
			"header Idempotency-Key: isn't supported; send the idempotency key in Endive-Key",
			`header Endive-Timeout: is "-1s"; write a time such as "800ms" or "2s", above 0 and at most 10m0s`,
			`path service: "Quote" must be lower-case letters, digits, dots and dashes, with a letter or digit at both ends`,
			`header Endive-Non-Idempotent: is "yes"; it must be "true" or "false"`,
		}},
		{"non-idempotent without a key", testCall{"POST", "/v1/services/cut/requests", "", []string{"Endive-Non-Idempotent", "true"}}, 400, []string{
			"header Endive-Key: is missing; choose a key that is the same for each retry",
		}},
		{"long key", testCall{"GET", "/v1/services/cut/outcomes/" + strings.Repeat("k", 129), "", nil}, 400, []string{
			"path key: is 129 bytes long; at most 128 are allowed",
		}},
		{"long body", testCall{"POST", "/v1/services/cut/requests", strings.Repeat("x", int(apiv1.MaxBody)+1), nil}, 413, []string{
			"the body is longer than 1048576 bytes; nothing was done",
		}},
		{"ticket", testCall{"POST", "/v1/tickets", `{"numbr":3,"services":[{"name":"quote","slots":"8","conections":4},{"name":"cut","slots":0,"timeout":"1h"}]}`, []string{"Endive-Timeout", "soon"}}, 400, []string{
			`header Endive-Timeout: is "soon"; write a time such as "800ms" or "2s", above 0 and at most 10m0s`,
			`numbr: is unknown; the nearest known key is "number"`,
			`services[0].conections: is unknown; the nearest known key is "connections"`,
			`services[0].slots: is the text "8"; it must be a number`,
			"number: is missing; tickets are numbered from 1",
			"services[1].timeout: is 1h0m0s; it must be above 0 and at most 10m0s",
		}},
		{"ticket in JSON", testCall{"POST", "/v1/tickets", "number = 3", nil}, 400, []string{
			"line 1: isn't JSON: invalid character 'm' in literal null (expecting 'l')",
		}},
		{"ticket number", testCall{"GET", "/v1/tickets/seven", "", nil}, 400, []string{`path number: is "seven"; tickets are numbered from 1`}},
		{"job", testCall{"POST", "/v1/jobs", `{"id":"j","name":"cut","team":"t","pool":"p","kind":"gang","tasks":-1,"key":"k"}`, nil}, 400, []string{
			"id: is given by the entry; leave it out",
			"need: is missing; name processors, memory or accelerators",
			"tasks: is -1; it must be 1 to 10000",
		}},
		{"jobs", testCall{"GET", "/v1/jobs?team=A&state=done&limit=0&tam=x&name=a&name=b", "", nil}, 400, []string{
			"query name: is given 2 times",
			`query tam: is unknown; the nearest known parameter is "team"`,
			`query team: "A" must be lower-case letters, digits, dots and dashes, with a letter or digit at both ends`,
			"query state: is not a job state; docs/API.md lists the states",
			`query limit: is "0"; it must be 1 to 1000`,
		}},
		{"job id", testCall{"GET", "/v1/jobs/" + strings.Repeat("j", 257), "", nil}, 400, []string{"path job: is 257 bytes long; at most 256 are allowed"}},
		{"cancel nothing", testCall{"POST", "/v1/cancellations", `{}`, nil}, 400, []string{"cancellation: is empty; give job, or team, name or both"}},
		{"cancel too much", testCall{"POST", "/v1/cancellations", `{"job":"j","team":"t"}`, nil}, 400, []string{"job: can't be given together with team or name"}},
		{"state", testCall{"GET", "/v1/workers?pool=a", "", nil}, 400, []string{"query pool: is unknown; this call has no query parameters"}},
		{"method", testCall{"DELETE", "/v1/jobs", "", nil}, 405, []string{"DELETE is not allowed on this path"}},
		{"path", testCall{"GET", "/v1/job", "", nil}, 404, []string{"there is no such path on this listener"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(setup.Limits{})
			w := f.do(tt.call)
			is.Equal(w.Code, tt.status)
			var failed apiv1.Error
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &failed))
			var got []string
			for _, finding := range failed.Findings {
				got = append(got, finding.String())
			}
			if got == nil {
				got = []string{failed.Message}
			}
			is.Equal(got, tt.want)
			is.Equal(len(f.backend.received), 0)
			if strings.HasSuffix(tt.call.path, "/requests") {
				is.Equal(w.Header().Get(apiv1.HeaderOutcome), "notRun")
			}
		})
	}
}

// TestTruncatedBody checks that a truncated body is never passed to the Backend.
func TestTruncatedBody(t *testing.T) {
	is := is.New(t)
	f := newFixture(setup.Limits{})
	r, err := http.NewRequest("POST", "/v1/services/cut/requests", brokenReader{})
	is.NoErr(err)
	w := newRecorder()
	f.ClientHandler().ServeHTTP(w, r)
	is.Equal(w.Code, 400)
	is.Equal(len(f.backend.received), 0)
}
