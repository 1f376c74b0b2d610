package cmds

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// fakeEntry is an HTTP server that answers each call with the next of its answers, and
// repeats the last one.
type fakeEntry struct {
	mu      sync.Mutex
	answers []string
	calls   []string
}

// ServeHTTP sends the next answer, which has the form "status outcome body"; the outcome
// "-" sends no outcome header.
func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	text := r.Method + " " + r.URL.RequestURI() + " " + string(body)
	for _, name := range []string{"Endive-Key", "Endive-Non-Idempotent"} {
		if value := r.Header.Get(name); value != "" {
			text += " " + name + ":" + value
		}
	}
	e.calls = append(e.calls, strings.TrimSpace(text))
	answer := strings.SplitN(e.answers[0], " ", 3)
	if len(e.answers) > 1 {
		e.answers = e.answers[1:]
	}
	if answer[1] != "-" {
		w.Header().Set("Endive-Outcome", answer[1])
	}
	status := map[string]int{"200": 200, "202": 202, "400": 400, "404": 404, "409": 409, "422": 422, "429": 429, "500": 500, "502": 502, "504": 504}[answer[0]]
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer[2])
}

const (
	ticketFile = "number = 7\n[[teams]]\nname = \"cutters\"\n"
	jobFile    = "name = \"cut\"\nteam = \"cutters\"\npool = \"planner\"\nkey = \"k1\"\n[need]\nprocessors = 1\n"
)

// accountMetrics are lines about two accounts among others.
const accountMetrics = `accountCap{account="a \"b\"",pool="svc",resource="processors"} 6
accountPart{account="a \"b\"",pool="svc",resource="processors"} 4.5
accountRunning{account="(others)",pool="svc",resource="processors"} 0.5
accountRunning{account="a \"b\"",pool="svc",resource="processors"} 3
accountRunning{account="torn
accountWaiting{account="a \"b\"",pool="svc",resource="memory"} 1073741824
calls{call="Poll",status="200"} 44
processMicroseconds 7
`

func TestRun(t *testing.T) {
	tests := []struct {
		name string
		// args are the arguments; FILE is replaced by the name of a file that contains file.
		args, file string
		answers    []string
		status     Status
		calls      []string
		// stdout and stderr must be contained in the output.
		stdout, stderr string
	}{
		{"ticket in force", "ticket apply FILE", ticketFile, []string{`200 - {"number":7,"state":"inForce","confirmed":["entry-1","entry-2"]}`}, StatusOK,
			[]string{`POST /v1/tickets {"number":7,"teams":[{"name":"cutters","quota":{"processors":0,"memory":0,"accelerators":0}}]}`}, "ticket 7 is in force on all entries: entry-1, entry-2\n", ""},
		{"ticket watched", "ticket apply FILE --json", ticketFile, []string{`202 - {"number":7,"state":"pending","missing":["entry-2"]}`, `200 - {"number":7,"state":"inForce"}`}, StatusOK, nil, `"state": "inForce"`, ""},
		{"ticket pending", "ticket apply FILE --timeout 1ms", ticketFile, []string{`202 - {"number":7,"state":"pending","missing":["entry-2"]}`}, StatusPending, nil, "", "not in force on entry-2 yet\nnext: It comes into force by itself."},
		{"ticket conflict", "ticket apply FILE", ticketFile, []string{`409 - {"code":"conflict","message":"held","next":"Use a higher number.","conflicts":[{"resource":"teams/cutters","ticket":9}]}`}, StatusConflict, nil, "",
			"endive: held\n  teams/cutters is held by ticket 9\nnext: Use a higher number.\n"},
		{"ticket wrong", "ticket apply FILE", "numer = 1", nil, StatusInvalid, nil, "", "  numer: is unknown; the nearest known key is \"number\"\n  number: is missing; tickets are numbered from 1\n"},
		{"config", "ticket show", "", []string{`200 - {"resources":[{"key":"teams/cutters","ticket":7,"team":{"name":"cutters","removed":true}}]}`}, StatusOK, []string{"GET /v1/config"}, "RESOURCE       TICKET  STATE\nteams/cutters  7       removed\n", ""},
		{"ticket entries", "ticket entries 7", "", []string{`200 - {"number":7,"confirmed":["b"],"missing":["a"]}`}, StatusPending, []string{"GET /v1/tickets/7"}, "ENTRY  IN FORCE\na      false\nb      true\n", "isn't in force everywhere yet"},
		{"submit", "job submit FILE --key k2", jobFile, []string{`200 - {"job":{"id":"j1","tasks":1},"state":"waiting"}`}, StatusOK, nil, "job j1 is waiting (1 task)\n", ""},
		{"submit refused", "job submit FILE", jobFile, []string{`422 - {"code":"refused","message":"no worker can hold it","findings":[{"place":"need.processors","reason":"too many"}]}`}, StatusRefused, nil, "", "endive: no worker can hold it\n  need.processors: too many\n"},
		{"list", "job list --team cutters --state waiting", "", []string{`200 - {"jobs":[],"next":"j9"}`}, StatusOK, []string{"GET /v1/jobs?limit=100&state=waiting&team=cutters"}, "none\n", "job list --after j9"},
		{"explain", "job explain j1", "", []string{`200 - {"job":{"id":"j1"},"state":"waiting","waiting":{"summary":"no accelerators are free","ahead":3,"reasons":["13 workers: full"]}}`}, StatusOK, []string{"GET /v1/jobs/j1"}, "why it is waiting: no accelerators are free\n    3 tasks go first\n    13 workers: full\n", ""},
		{"no job", "job explain j1", "", []string{`404 - {"code":"notFound","message":"no job j1"}`}, StatusNotFound, nil, "", "no job j1"},
		{"cancel", "job cancel --team cutters", "", []string{`200 - {"jobs":2}`}, StatusOK, []string{`POST /v1/cancellations {"team":"cutters"}`}, "2 jobs cancelled; tasks that run are being stopped\n", ""},
		{"cancel nothing", "job cancel", "", nil, StatusUsage, nil, "", "Give the id of a job"},
		{"ask", "ask cut panel --key k1 --non-idempotent", "", []string{"200 answered done"}, StatusOK, []string{"POST /v1/services/cut/requests panel Endive-Key:k1 Endive-Non-Idempotent:true"}, "done", ""},
		{"ask from a file", "ask cut --file FILE --json", "panel", []string{"200 answered done"}, StatusOK, []string{"POST /v1/services/cut/requests panel"}, `"outcome": "answered"`, ""},
		{"ask from stdin", "ask cut --file -", "", []string{"200 answered done"}, StatusOK, []string{"POST /v1/services/cut/requests from stdin"}, "done", ""},
		{"ask without key", "ask cut panel --non-idempotent", "", nil, StatusUsage, nil, "", "--non-idempotent needs --key"},
		{"ask twice", "ask cut panel --file FILE", "panel", nil, StatusUsage, nil, "", "given twice"},
		{"executor's error", "ask cut panel", "", []string{"500 answered torn"}, StatusFailed, nil, "torn", "status 500"},
		{"not run", "ask cut panel --json", "", []string{`429 notRun {"code":"busy","message":"full","retryAfter":"2s"}`}, StatusRefused, nil, `"outcome": "notRun"`, "Wait 2s first."},
		{"unknown", "ask cut panel --key k1", "", []string{`502 unknown {"code":"unknown","message":"broke"}`}, StatusUnknown, nil, "", "endive outcome cut k1"},
		{"not an entry", "ask cut panel", "", []string{"200 - <html>"}, StatusUnknown, nil, "", "is this the address of an entry?"},
		{"outcome", "outcome cut k1", "", []string{`200 - {"outcome":"answered","status":200,"body":"ZG9uZQ=="}`}, StatusOK, []string{"GET /v1/services/cut/outcomes/k1"}, "answered with status 200\ndone\n", ""},
		{"outcome running", "outcome cut k1", "", []string{`200 - {"running":true}`}, StatusPending, nil, "running\n", "still running"},
		{"outcome unknown", "outcome cut k1", "", []string{`200 - {"outcome":"unknown"}`}, StatusUnknown, nil, "unknown\n", "may have run"},
		{"outcome not looked up", "outcome cut k1", "", []string{`429 - {"code":"busy","message":"full"}`}, StatusUnknown, nil, "", "couldn't be looked up: full"},
		{"fault", "show slices", "", []string{`500 - {"code":"internal","message":"fault"}`}, StatusFault, nil, "", "fault"},
		{"entries", "show entries", "", []string{`200 - {"entries":[{"id":"entry-1","self":true,"state":"live"}]}`}, StatusOK, nil, "entry-1  live   false  -       -     -        0         true", ""},
		{"instances", "show instances", "", []string{`200 - {"instances":[{"id":"x1","kind":"executor","service":"cut","state":"live"}]}`}, StatusOK, nil, "x1        executor  live   false    -       -     -     cut  -", ""},
		{"workers", "show workers", "", []string{`200 - {"workers":[{"id":"w1","quarantined":"3 unlike jobs failed"}]}`}, StatusOK, nil, "3 unlike jobs failed", ""},
		{"slices", "show slices", "", []string{`200 - {"slices":[{"id":"planner.de","holder":"entry-3","epoch":4}]}`}, StatusOK, nil, "planner.de  entry-3  4", ""},
		{"accounts", "show accounts", "", []string{"200 - " + accountMetrics}, StatusOK, []string{"GET /metrics"},
			"svc   (others)  0.5 processors, 0.0 GiB, 0 accelerators  0.0 processors, 0.0 GiB, 0 accelerators  -", ""},
		{"accounts in JSON", "show accounts --json", "", []string{"200 - " + accountMetrics}, StatusOK, nil, `"name": "a \"b\""`, ""},
		{"no accounts", "show accounts", "", []string{"200 - processMicroseconds 7\n"}, StatusOK, nil, "none\n", ""},
		{"slots", "show slots --json", "", []string{`200 - {"slots":[{"executor":"x1","slots":8,"lent":2}]}`}, StatusOK, nil, `"lent": 2`, ""},
		{"settings", "settings check ../../setup/sample.toml", "", nil, StatusOK, nil, "The settings are good: entry entry-1", ""},
		{"settings wrong", "settings check FILE --json", "nmae = \"a\"", nil, StatusInvalid, nil, "", `"place": "nmae"`},
		{"flag", "ask cut --timeout soon", "", nil, StatusUsage, nil, "", "is not a duration"},
		{"missing file", "ticket apply nowhere.toml", "", nil, StatusInvalid, nil, "", "no such file"},
		{"help", "help ticket apply", "", nil, StatusOK, nil, "endive ticket apply 0017.toml", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fake := &fakeEntry{answers: tt.answers}
			server := httptest.NewServer(fake)
			defer server.Close()
			path := filepath.Join(t.TempDir(), "file.toml")
			is.NoErr(os.WriteFile(path, []byte(tt.file), 0o600))
			args := strings.Fields(tt.args)
			for i := range args {
				args[i] = strings.Replace(args[i], "FILE", path, 1)
			}
			var stdout, stderr bytes.Buffer
			got := Run(context.Background(), Env{
				Stdin: strings.NewReader("from stdin"), Stdout: &stdout, Stderr: &stderr, Clock: endive.SystemClock{},
				Getenv: func(string) string { return server.Listener.Addr().String() },
			}, args)
			is.Equal(got, tt.status)
			is.True(strings.Contains(stdout.String(), tt.stdout)) // stdout contains the expected text
			is.True(strings.Contains(stderr.String(), tt.stderr)) // stderr contains the expected text
			if tt.calls != nil {
				is.Equal(fake.calls, tt.calls)
			}
			if tt.answers == nil {
				is.Equal(len(fake.calls), 0)
			}
		})
	}
}

func TestUnreachable(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	var stdout, stderr bytes.Buffer
	env := Env{Stdout: &stdout, Stderr: &stderr, Clock: endive.SystemClock{}, Getenv: func(string) string { return "" }}
	is.Equal(Run(context.Background(), env, []string{"ask", "cut", "panel", "--entry", address}), StatusUnreachable)
	is.True(strings.Contains(stderr.String(), "Check --entry or ENDIVE_ENTRY"))
	env.Getenv = func(string) string { return "localhost" }
	is.Equal(Run(context.Background(), env, []string{"show", "slots"}), StatusUsage)
}
