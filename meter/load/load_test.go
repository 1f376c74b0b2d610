package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"endiveroute.example/endive"
	"endiveroute.example/endive/client"
)

// TestArrivals checks that equal seeds give equal arrivals, in order and within the
// duration, and that ids are shared only by two devices of a quote or a cut's retry.
func TestArrivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mix := Mix{
			Cuts: rapid.Float64Range(0, 0.5).Draw(t, "cuts"), Plans: rapid.Float64Range(0, 0.5).Draw(t, "plans"),
			Devices: rapid.Float64Range(0, 1).Draw(t, "devices"), Retries: rapid.Float64Range(0, 1).Draw(t, "retries"),
			QuoteTime: endive.Interval(time.Millisecond), CutTime: endive.Interval(time.Second), PlanTasks: 4,
		}
		seed, rate := rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(1, 500).Draw(t, "rate")
		length := endive.Interval(2 * time.Second)
		arrivals := GenerateArrivals(seed, "a", rate, length, mix)
		if !reflect.DeepEqual(arrivals, GenerateArrivals(seed, "a", rate, length, mix)) {
			t.Fatal("equal seeds gave different arrivals")
		}
		copies := make(map[string]int)
		for i, one := range arrivals {
			if one.Due >= length || (i > 0 && one.Due < arrivals[i-1].Due) {
				t.Fatalf("arrival %d is due at %s", i, one.Due)
			}
			copies[one.ID]++
			if copies[one.ID] > 2 || (copies[one.ID] == 2 && one.Kind == Plan) {
				t.Fatalf("%s is sent %d times", one.ID, copies[one.ID])
			}
		}
	})
}

// TestLatencyFromDue checks that the latency of a request is measured from its due time,
// even if it was sent late.
func TestLatencyFromDue(t *testing.T) {
	is := is.New(t)
	results := NewResults()
	results.recordSent(Quote, 300*time.Millisecond)
	results.recordAnswered(Quote, 320*time.Millisecond, endive.Interval(15*time.Millisecond))
	quote := results.Kind(Quote)
	is.Equal(quote.Latency.Max()/1000, int64(320))
	is.Equal(quote.Waiting.Max()/1000, int64(305))
	is.Equal(results.MaxDelay(), endive.Interval(300*time.Millisecond))
}

// fakeEntry is an entry whose response depends on the word after the number in the
// arrival's id.
type fakeEntry struct{}

func (fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/v1/jobs" {
		_, _ = io.WriteString(w, `{"job":{"id":"j1"}}`)
		return
	}
	outcome, status, answer := "answered", http.StatusOK, "quote: "+string(body)
	switch {
	case bytes.HasSuffix(body, []byte("busy")):
		outcome, status = "notRun", http.StatusTooManyRequests
	case bytes.HasSuffix(body, []byte("unknown")):
		outcome, status = "unknown", http.StatusBadGateway
	case bytes.HasSuffix(body, []byte("fails")):
		status = http.StatusInternalServerError
	case bytes.HasSuffix(body, []byte("swapped")):
		answer = "quote: time=1ms another"
	}
	w.Header().Set("Endive-Outcome", outcome)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

// TestRunner checks that each arrival is sent once and counted under its outcome.
func TestRunner(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(fakeEntry{})
	defer server.Close()
	c := client.New(endive.SystemClock{}, endive.Address(strings.TrimPrefix(server.URL, "http://")))
	defer c.Close()
	results := NewResults()
	target := Target{Quote: "quote", Cut: "cut", Pool: "quoting", Team: "workshop", Timeout: endive.Interval(time.Minute)}
	arrivals := []Arrival{
		{Kind: Quote, ID: "1-fine"}, {Kind: Quote, ID: "2-busy"}, {Kind: Quote, ID: "3-unknown"}, {Kind: Quote, ID: "4-fails"},
		{Kind: Cut, ID: "5-swapped"}, {Kind: Cut, ID: "6-fine"}, {Kind: Plan, ID: "7", Tasks: 2},
	}
	NewRunner(c, endive.SystemClock{}, target, 3, results).Run(context.Background(), arrivals)
	got := make(map[Kind][]int)
	for _, kind := range Kinds() {
		r := results.Kind(kind)
		got[kind] = []int{r.Sent, r.Answered, r.NotRun, r.Unknown, r.Failed, r.Wrong}
	}
	is.Equal(got, map[Kind][]int{Quote: {4, 1, 1, 1, 1, 0}, Cut: {2, 1, 0, 0, 0, 1}, Plan: {1, 1, 0, 0, 0, 0}})
	is.Equal(results.Jobs(), []endive.JobID{"j1"})
}
