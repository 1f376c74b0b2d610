package launch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/insts"
	"endiveroute.example/endive/object"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/worker"
)

// errorClass returns the name of the class of an error.
func errorClass(err error) string {
	switch {
	case err == nil:
		return "none"
	case endive.ErrUnknown.Has(err):
		return "unknown"
	case endive.ErrUnavailable.Has(err):
		return "unavailable"
	case endive.ErrNotFound.Has(err):
		return "not found"
	case endive.ErrConflict.Has(err):
		return "conflict"
	}
	return err.Error()
}

// faultCase is a fault and the error classes that it must cause.
type faultCase struct {
	name  string
	fault fault.Fault
	// wantWrite is the error class of an operation that changes state, wantRead that
	// of a read.
	wantWrite, wantRead string
	// wantApplied is set if the service must have applied the change.
	wantApplied bool
}

var faultCases = []faultCase{
	{"no fault", fault.Fault{}, "none", "none", true},
	{"lost answer", fault.Fault{Kind: fault.LostAnswer}, "unknown", "unavailable", true},
	{"truncated", fault.Fault{Kind: fault.Truncated}, "unknown", "unavailable", true},
	{"swapped", fault.Fault{Kind: fault.Swapped}, "unknown", "unavailable", true},
	{"late", fault.Fault{Kind: fault.Late, Delay: longTimeout}, "unknown", "unavailable", true},
	{"repeated", fault.Fault{Kind: fault.Repeated}, "none", "none", true},
	{"silent connection", fault.Fault{Kind: fault.Silent}, "unknown", "unavailable", false},
	{"cut off", fault.Fault{Kind: fault.Cut}, "unknown", "unavailable", false},
}

// context returns a context with a short timeout if the fault prevents an answer,
// otherwise with a long one.
func (tt faultCase) context(t *testing.T) context.Context {
	limit := longTimeout
	switch tt.fault.Kind {
	case fault.Late, fault.Silent, fault.Cut:
		limit = shortTimeout
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(limit))
	t.Cleanup(cancel)
	return ctx
}

func TestObjects(t *testing.T) {
	cases := append([]faultCase{
		{"down", fault.Fault{Kind: fault.Down}, "unavailable", "unavailable", false},
		{"fails", fault.Fault{Kind: fault.FailAll}, "unknown", "unavailable", false},
	}, faultCases...)
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := startPlatform(t)
			client := object.New(newRESTClient(), p.Addresses().Objects)
			is.NoErr(client.Put(t.Context(), "answers/before", []byte("before")))
			enableFault(p, fault.Objects, tt.fault)
			is.Equal(errorClass(client.Put(tt.context(t), "answers/1", []byte("asked"))), tt.wantWrite)
			p.Faults().Clear()
			got, err := client.Get(t.Context(), "answers/1")
			is.Equal(err == nil, tt.wantApplied)
			if err == nil {
				is.Equal(string(got), "asked")
			}
			enableFault(p, fault.Objects, tt.fault)
			_, err = client.Get(tt.context(t), "answers/before")
			is.Equal(errorClass(err), tt.wantRead)
		})
	}
}

func TestObjectsNames(t *testing.T) {
	is := is.New(t)
	client := object.New(newRESTClient(), startPlatform(t).Addresses().Objects)
	_, err := client.Get(t.Context(), "none")
	is.Equal(errorClass(err), "not found")
	is.NoErr(client.Put(t.Context(), "a/b c", []byte("1")))
	is.NoErr(client.Put(t.Context(), "a/b c", []byte("1")))
	is.Equal(errorClass(client.Put(t.Context(), "a/b c", []byte("2"))), "conflict")
}

func TestInstances(t *testing.T) {
	cases := append([]faultCase{
		{"down", fault.Fault{Kind: fault.Down}, "", "unavailable", false},
		{"fails", fault.Fault{Kind: fault.FailAll}, "", "unavailable", false},
	}, faultCases...)
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := startPlatform(t)
			http := newRESTClient()
			earlierClient := insts.New(http, p.Addresses().Instances)
			_, err := earlierClient.List(t.Context())
			is.NoErr(err)
			enableFault(p, fault.Instances, tt.fault)
			list, err := insts.New(http, p.Addresses().Instances).List(tt.context(t)) // a new client without a cached list
			is.Equal(errorClass(err), tt.wantRead)
			if err == nil {
				is.Equal(len(list), 2)
			}
			p.Faults().Clear()
			list, err = insts.New(newRESTClient(), p.Addresses().Instances).List(t.Context())
			is.NoErr(err)
			is.Equal(len(list), 2)
		})
	}
}

// TestInstancesThatDidNotChange verifies that an unchanged list isn't sent again,
// and that a changed list is.
func TestInstancesThatDidNotChange(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	client := insts.New(newRESTClient(), p.Addresses().Instances)
	first, err := client.List(t.Context())
	is.NoErr(err)
	second, err := client.List(t.Context())
	is.NoErr(err)
	is.True(&first[0] == &second[0]) // the cached list, not a new copy
	p.Remove(first[0].ID)
	third, err := client.List(t.Context())
	is.NoErr(err)
	is.Equal(len(third), len(first)-1)
	enableFault(p, fault.Instances, fault.Fault{Kind: fault.Down})
	_, err = client.List(t.Context())
	is.Equal(errorClass(err), "unavailable") // a failed read must not return the cached list
}

// TestWorkers verifies the result of a command that starts a task under each
// fault, and that sending the command again doesn't start the task twice.
func TestWorkers(t *testing.T) {
	cases := append([]faultCase{
		{"down", fault.Fault{Kind: fault.Down}, "unknown", "", false},
		{"fails its tasks", fault.Fault{Kind: fault.FailAll}, "none", "", true},
		{"duplicated", fault.Fault{Kind: fault.Duplicated}, "none", "", true},
	}, faultCases...)
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := startPlatform(t)
			client := worker.New(newRESTClient())
			workerAddress := p.Addresses().Workers["planner-1"]
			command := endive.WorkerCommand{Slice: "planner.gogledd", Epoch: 1, Sequence: 1, LeaseMillis: 60000}
			_, err := client.Send(t.Context(), workerAddress, command)
			is.NoErr(err)
			enableFault(p, fault.Worker, tt.fault)
			command.Sequence = 2
			command.Start = []endive.StartTask{{
				Task: "job.1", Attempt: "job.1.1", Payload: "forever", Need: endive.Resources{Processors: 1000},
			}}
			_, err = client.Send(tt.context(t), workerAddress, command)
			is.Equal(errorClass(err), tt.wantWrite)
			is.Equal(p.Counts(true).Workers.ByTask["job.1"].Starts == 1, tt.wantApplied)
			p.Faults().Clear()
			report, err := client.Send(t.Context(), workerAddress, command)
			if tt.fault.Kind == fault.Duplicated {
				is.Equal(errorClass(err), "unknown")
				return
			}
			is.NoErr(err)
			is.Equal(report.Refused, "")
			is.Equal(len(report.Tasks), 1)
			is.Equal(p.Counts(true).Workers.ByTask["job.1"].Starts, 1)
		})
	}
}

// TestWorkersPaused verifies that a worker that was paused while a start command
// was in its socket buffer doesn't execute the command after the sender's timeout,
// and that a worker rejects commands for an earlier run of its process.
func TestWorkersPaused(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	client := worker.New(newRESTClient())
	workerAddress := p.Addresses().Workers["planner-1"]
	command := endive.WorkerCommand{Slice: "planner.gogledd", Epoch: 1, Sequence: 1, LeaseMillis: 60000}
	_, err := client.Send(t.Context(), workerAddress, command)
	is.NoErr(err)
	enableFault(p, fault.Worker, fault.Fault{Kind: fault.Paused})
	command.Sequence = 2
	command.Start = []endive.StartTask{{Task: "job.1", Attempt: "job.1.1", Need: endive.Resources{Processors: 1}}}
	expired, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	_, err = client.Send(expired, workerAddress, command)
	is.Equal(errorClass(err), "unavailable") // the deadline had passed before the command was sent
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(shortTimeout))
	defer cancel()
	_, err = client.Send(ctx, workerAddress, command)
	is.Equal(errorClass(err), "unknown")
	p.Faults().Clear()
	count := p.Counts(true).Workers.Workers["planner-1"]
	for count.TooLate == 0 && count.Starts == 0 {
		_, _ = insts.New(newRESTClient(), p.Addresses().Instances).List(t.Context())
		count = p.Counts(true).Workers.Workers["planner-1"]
	}
	is.Equal(count.Starts, 0)

	var report endive.WorkerReport
	answer, err := newRESTClient().PostNotAfter(t.Context(), workerAddress, "/v1/command", "former:99999999", command, &report)
	is.NoErr(err)
	is.Equal(answer.Status, 412)
	_, err = client.Send(t.Context(), workerAddress, command)
	is.NoErr(err)
	is.Equal(p.Counts(false).Workers.Starts, 1)
}

// TestPlatformAllSilent verifies that when several pooled connections stop
// answering at the same time, only one request fails.
func TestPlatformAllSilent(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	client := insts.New(newRESTClient(), p.Addresses().Instances)
	enableFault(p, fault.Instances, fault.Fault{Kind: fault.Paused})
	listers := []*lister{{client: client}, {client: client}}
	for _, l := range listers {
		l.done.Add(1)
		go l.run(t.Context())
	}
	for p.Counts(false).Parts[fault.Instances].MostConnections < len(listers) {
		_, _ = object.New(newRESTClient(), p.Addresses().Objects).Get(t.Context(), "none")
	}
	p.Faults().Clear()
	for _, l := range listers {
		l.done.Wait()
		is.NoErr(l.err)
	}
	enableFault(p, fault.Instances, fault.Fault{Kind: fault.Silent})
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(shortTimeout))
	defer cancel()
	_, err := client.List(ctx)
	is.Equal(errorClass(err), "unavailable")
	_, err = client.List(t.Context())
	is.NoErr(err)
}

// lister reads the instance list in a goroutine.
type lister struct {
	client endive.Instances
	err    error
	done   sync.WaitGroup
}

func (l *lister) run(ctx context.Context) {
	defer l.done.Done()
	_, l.err = l.client.List(ctx)
}
