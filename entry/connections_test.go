package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	plat "endiveroute.example/endive/platform"
	"endiveroute.example/endive/platform/stand"
)

// workerConnectionLimit is how many connections a worker has before it resets new ones.
const workerConnectionLimit = 64

// slowWorker answers late enough for the orders of one entry to overlap.
type slowWorker struct{}

func (slowWorker) ServeHTTP(response http.ResponseWriter, _ *http.Request) {
	time.Sleep(5 * time.Millisecond)
	_, _ = response.Write([]byte("{}"))
}

// orders sends orders to stop to a worker.
type orders struct {
	fleet   *plat.Fleet
	address endive.Address
	failed  chan error
}

func (o orders) run() {
	_, err := o.fleet.Stop(context.Background(), endive.StopOrder{Worker: endive.WorkerRef{ID: "w", Address: o.address}, Task: "t"})
	o.failed <- err
}

// noCounts records no metrics.
type noCounts struct{}

func (noCounts) RecordCall(string, int, time.Duration)          {}
func (noCounts) RecordBytes(string, endive.Bytes, endive.Bytes) {}

// Entries lose power one after the other, each while many of its orders are on their way to one worker. The next entry
// must still reach the worker.
func TestWorkerIsReachedAfterPowerLosses(t *testing.T) {
	is := is.New(t)
	const losses, ordersAtOnce = 15, 20
	server := httptest.NewUnstartedServer(slowWorker{})
	server.Listener = stand.NewCappedListener(server.Listener, workerConnectionLimit)
	server.Start()
	defer server.Close()
	p := &cellProgram{}
	for range losses + 1 {
		client := plat.NewClient(p.clientSettings(workerMaxConnections), endive.SystemClock{}, noCounts{})
		defer client.Close()
		sent := orders{fleet: plat.NewFleet(client), address: endive.Address(server.Listener.Addr().String()), failed: make(chan error)}
		for range ordersAtOnce {
			go sent.run()
		}
		for range ordersAtOnce {
			is.NoErr(<-sent.failed)
		}
	}
}
