package client_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/client"
)

// fakeEntry is an HTTP server that answers all calls in the same way and counts them.
type fakeEntry struct {
	behaviour string
	mu        sync.Mutex
	calls     int
	header    http.Header
}

// received returns the number of calls received, and the headers of the last one.
func (e *fakeEntry) received() (int, http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls, e.header
}

// recordCall counts a call and stores its headers.
func (e *fakeEntry) recordCall(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	e.header = r.Header.Clone()
}

func (e *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.recordCall(r)
	header := w.Header()
	switch e.behaviour {
	case "answers":
		header.Set(apiv1.HeaderOutcome, "answered")
		_, _ = w.Write(append([]byte("whole "), body...))
	case "breaks":
		panic(http.ErrAbortHandler)
	case "truncates":
		header.Set(apiv1.HeaderOutcome, "answered")
		header.Set("Content-Length", "100")
		_, _ = w.Write([]byte("a part"))
	case "busy":
		header.Set(apiv1.HeaderOutcome, "notRun")
		header.Set("Retry-After", "3")
		w.WriteHeader(http.StatusTooManyRequests)
		_, _ = w.Write([]byte(`{"code":"busy","message":"full","outcome":"notRun"}`))
	case "stopping":
		header.Set(apiv1.HeaderOutcome, "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"unavailable","message":"stopping","outcome":"notRun"}`))
	case "redirects":
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
	case "notAnEntry":
		_, _ = w.Write([]byte("<html>"))
	}
}

// startEntries starts a fake entry for each behaviour, and returns them with a client.
// Nothing listens on the address of an entry whose behaviour is "down".
func startEntries(t *testing.T, behaviours string) ([]*fakeEntry, *client.Client) {
	var entries []*fakeEntry
	var addresses []endive.Address
	for _, behaviour := range strings.Fields(behaviours) {
		one := &fakeEntry{behaviour: behaviour}
		server := httptest.NewUnstartedServer(one)
		server.Start()
		if behaviour == "down" {
			server.Close()
		}
		t.Cleanup(server.Close)
		entries = append(entries, one)
		addresses = append(addresses, endive.Address(server.Listener.Addr().String()))
	}
	c := client.New(endive.SystemClock{}, addresses...)
	t.Cleanup(c.Close)
	return entries, c
}

// TestAsk checks when a request is sent to a second entry, and the outcome of
// the request.
func TestAsk(t *testing.T) {
	tests := []struct {
		entries, kind string
		outcome       endive.Outcome
		// calls is the number of calls that each entry receives.
		calls []int
	}{
		{"answers answers", "idempotent", endive.Answered, []int{1, 0}},
		{"down answers", "idempotent", endive.Answered, []int{0, 1}},
		{"down answers", "once", endive.Answered, []int{0, 1}},
		{"down down", "once", endive.NotRun, []int{0, 0}},
		{"stopping answers", "once", endive.Answered, []int{1, 1}},
		{"stopping down", "once", endive.NotRun, []int{1, 0}},
		{"busy answers", "idempotent", endive.NotRun, []int{1, 0}},
		{"breaks answers", "idempotent", endive.Answered, []int{1, 1}},
		{"truncates answers", "idempotent", endive.Answered, []int{1, 1}},
		{"breaks answers", "once", endive.Answered, []int{1, 1}},
		{"breaks breaks", "once", endive.Unknown, []int{1, 1}},
		// A request that the first entry may have run never has the outcome NotRun.
		{"breaks busy", "once", endive.Unknown, []int{1, 1}},
		{"breaks stopping", "once", endive.Unknown, []int{1, 1}},
		{"stopping breaks", "once", endive.Unknown, []int{1, 1}},
		{"breaks down", "idempotent", endive.Unknown, []int{1, 0}},
		{"redirects answers", "idempotent", endive.Unknown, []int{1, 0}},
		{"notAnEntry answers", "idempotent", endive.Unknown, []int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.kind+" "+tt.entries, func(t *testing.T) {
			is := is.New(t)
			entries, c := startEntries(t, tt.entries)
			request := apiv1.Request{Service: "cut", Body: []byte("panel"), Deadline: time.Now().Add(time.Minute)}
			if tt.kind == "once" {
				request.Key, request.NonIdempotent = "k1", true
			}
			answer, err := c.SendRequest(context.Background(), request)
			is.Equal(answer.Outcome, tt.outcome)
			is.Equal(err == nil, tt.outcome == endive.Answered)
			var calls []int
			for _, one := range entries {
				n, header := one.received()
				calls = append(calls, n)
				if n > 0 {
					is.Equal(header.Get(apiv1.HeaderKey), string(request.Key))
					is.True(header.Get(apiv1.HeaderTimeout) != "")
					is.Equal(header.Get("Idempotency-Key"), "")
				}
			}
			is.Equal(calls, tt.calls)
			if err == nil {
				is.Equal(string(answer.Body), "whole panel")
			}
			if tt.entries == "busy answers" {
				is.Equal(answer.RetryAfter, endive.Interval(3*time.Second))
			}
		})
	}
}

// TestNeverWithoutKey checks that a non-idempotent request without a key isn't sent at
// all, and that a cancellation by team isn't sent again after a lost answer.
func TestNeverWithoutKey(t *testing.T) {
	is := is.New(t)
	entries, c := startEntries(t, "breaks answers")
	answer, err := c.SendRequest(context.Background(), apiv1.Request{Service: "cut", NonIdempotent: true})
	is.True(endive.ErrInvalid.Has(err))
	is.Equal(answer.Outcome, endive.NotRun)
	calls, _ := entries[0].received()
	is.Equal(calls, 0)
	_, err = c.Cancel(context.Background(), apiv1.Cancellation{Team: "cutters"})
	is.True(endive.ErrUnknown.Has(err))
	calls, _ = entries[1].received()
	is.Equal(calls, 0)
}

// TestNoReplay checks that net/http doesn't retry a request by itself when a pooled
// connection breaks.
func TestNoReplay(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	server := &breakingServer{listener: listener, ended: make(chan struct{})}
	go server.run()
	c := client.New(endive.SystemClock{}, endive.Address(listener.Addr().String()))
	first := apiv1.Request{Service: "cut", Key: "k1", NonIdempotent: true, Body: []byte("panel")}
	answer, err := c.SendRequest(context.Background(), first)
	is.NoErr(err)
	is.Equal(answer.Outcome, endive.Answered)
	// The second request is sent on the connection of the first; the server then closes it.
	answer, err = c.SendRequest(context.Background(), first)
	is.True(endive.ErrUnknown.Has(err))
	is.Equal(answer.Outcome, endive.Unknown)
	is.NoErr(listener.Close())
	<-server.ended
	is.Equal(server.requests, 2)
}

// breakingServer answers the first request of each connection, and closes the connection
// after reading the second one.
type breakingServer struct {
	listener net.Listener
	requests int
	ended    chan struct{}
}

func (f *breakingServer) run() {
	defer close(f.ended)
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.serve(conn)
	}
}

func (f *breakingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(request.Body)
		f.requests++
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nEndive-Outcome: answered\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func TestErrors(t *testing.T) {
	is := is.New(t)
	_, c := startEntries(t, "busy")
	_, err := c.Entries(context.Background())
	var failed *apiv1.Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.Code, apiv1.CodeBusy)
	_, c = startEntries(t, "notAnEntry")
	_, err = c.Slots(context.Background())
	is.True(endive.ErrUnknown.Has(err))
	_, err = client.New(endive.SystemClock{}).Jobs(context.Background(), apiv1.JobQuery{Team: "a"})
	is.True(client.ErrUnreachable.Has(err))
}

// stateServer answers queries with the workers and slices of one entry.
type stateServer struct {
	workers, slices string
}

func (k stateServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := k.slices
	if r.URL.Path == apiv1.PathWorkers {
		body = k.workers
	}
	_, _ = io.WriteString(w, body)
}

// TestEverywhere checks that lists from all entries contain the holders' state, and that
// the error names an entry that doesn't answer while the others' lists are returned.
func TestEverywhere(t *testing.T) {
	is := is.New(t)
	var addresses []endive.Address
	for _, one := range []stateServer{
		{`{"workers":[{"id":"b"},{"id":"a","tasks":2}]}`, `{"slices":[{"id":"s","epoch":3,"queued":9},{"id":"t","epoch":1,"queued":9}]}`},
		{`{"workers":[{"id":"a"},{"id":"b","tasks":1}]}`, `{"slices":[{"id":"s","epoch":3,"remaining":"1s","queued":4},{"id":"t","epoch":2}]}`},
	} {
		server := httptest.NewServer(one)
		defer server.Close()
		addresses = append(addresses, endive.Address(server.Listener.Addr().String()))
	}
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	addresses = append(addresses, endive.Address(down.Listener.Addr().String()))
	c := client.New(endive.SystemClock{}, addresses...)
	defer c.Close()
	workers, err := c.AllWorkers(context.Background())
	is.True(endive.ErrUnavailable.Has(err))
	is.True(strings.Contains(err.Error(), string(addresses[2])))
	is.Equal(workers.Workers, []apiv1.Worker{{ID: "a", Tasks: 2}, {ID: "b", Tasks: 1}})
	slices, err := c.AllSlices(context.Background())
	is.True(err != nil)
	is.Equal(slices.Slices, []apiv1.Slice{{ID: "s", Epoch: 3, Remaining: endive.Interval(time.Second), Queued: 4}, {ID: "t", Epoch: 2}})
	_, err = client.New(endive.SystemClock{}, addresses[2]).AllSlices(context.Background())
	is.True(client.ErrUnreachable.Has(err))
}
