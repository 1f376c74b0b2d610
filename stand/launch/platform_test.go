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

// classOf names the class of an error.
func classOf(err error) string {
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

// faultCase is a fault and the classes of the errors that it gives.
type faultCase struct {
	name  string
	fault fault.Fault
	// writing is what an operation that changes something gets, reading another.
	writing, reading string
	// done says that the change was carried out.
	done bool
}

var faultCases = []faultCase{
	{"no fault", fault.Fault{}, "none", "none", true},
	{"lost answer", fault.Fault{Kind: fault.LostAnswer}, "unknown", "unavailable", true},
	{"truncated", fault.Fault{Kind: fault.Truncated}, "unknown", "unavailable", true},
	{"swapped", fault.Fault{Kind: fault.Swapped}, "unknown", "unavailable", true},
	{"late", fault.Fault{Kind: fault.Late, Delay: generously}, "unknown", "unavailable", true},
	{"repeated", fault.Fault{Kind: fault.Repeated}, "none", "none", true},
	{"silent connection", fault.Fault{Kind: fault.Silent}, "unknown", "unavailable", false},
	{"cut off", fault.Fault{Kind: fault.Cut}, "unknown", "unavailable", false},
}

// context returns a context that ends soon where the fault never answers.
func (tt faultCase) context(t *testing.T) context.Context {
	limit := generously
	switch tt.fault.Kind {
	case fault.Late, fault.Silent, fault.Cut:
		limit = shortly
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
			p := newPlatform(t)
			client := object.New(newHTTP(), p.Addresses().Objects)
			is.NoErr(client.Put(t.Context(), "answers/before", []byte("before")))
			switchOn(p, fault.Objects, tt.fault)
			is.Equal(classOf(client.Put(tt.context(t), "answers/1", []byte("asked"))), tt.writing)
			p.Faults().Clear()
			got, err := client.Get(t.Context(), "answers/1")
			is.Equal(err == nil, tt.done)
			if err == nil {
				is.Equal(string(got), "asked")
			}
			switchOn(p, fault.Objects, tt.fault)
			_, err = client.Get(tt.context(t), "answers/before")
			is.Equal(classOf(err), tt.reading)
		})
	}
}

func TestObjectsNames(t *testing.T) {
	is := is.New(t)
	client := object.New(newHTTP(), newPlatform(t).Addresses().Objects)
	_, err := client.Get(t.Context(), "none")
	is.Equal(classOf(err), "not found")
	is.NoErr(client.Put(t.Context(), "a/b c", []byte("1")))
	is.NoErr(client.Put(t.Context(), "a/b c", []byte("1")))
	is.Equal(classOf(client.Put(t.Context(), "a/b c", []byte("2"))), "conflict")
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
			p := newPlatform(t)
			http := newHTTP()
			known := insts.New(http, p.Addresses().Instances)
			_, err := known.List(t.Context())
			is.NoErr(err)
			switchOn(p, fault.Instances, tt.fault)
			list, err := insts.New(http, p.Addresses().Instances).List(tt.context(t)) // the whole list
			is.Equal(classOf(err), tt.reading)
			if err == nil {
				is.Equal(len(list), 2)
			}
			p.Faults().Clear()
			list, err = insts.New(newHTTP(), p.Addresses().Instances).List(t.Context())
			is.NoErr(err)
			is.Equal(len(list), 2)
		})
	}
}

// TestInstancesThatDidNotChange proves that an unchanged list isn't sent again,
// and that a changed one is.
func TestInstancesThatDidNotChange(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	client := insts.New(newHTTP(), p.Addresses().Instances)
	first, err := client.List(t.Context())
	is.NoErr(err)
	second, err := client.List(t.Context())
	is.NoErr(err)
	is.True(&first[0] == &second[0]) // the very list that was at hand
	p.Remove(first[0].ID)
	third, err := client.List(t.Context())
	is.NoErr(err)
	is.Equal(len(third), len(first)-1)
	switchOn(p, fault.Instances, fault.Fault{Kind: fault.Down})
	_, err = client.List(t.Context())
	is.Equal(classOf(err), "unavailable") // no old list in place of none
}

// TestWorkers proves what becomes of a start under each fault, and that the same
// command once more starts nothing twice.
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
			p := newPlatform(t)
			client := worker.New(newHTTP())
			to := p.Addresses().Workers["planner-1"]
			command := endive.WorkerCommand{Slice: "planner.gogledd", Epoch: 1, Sequence: 1, LeaseMillis: 60000}
			_, err := client.Send(t.Context(), to, command)
			is.NoErr(err)
			switchOn(p, fault.Worker, tt.fault)
			command.Sequence = 2
			command.Start = []endive.StartTask{{
				Task: "job.1", Attempt: "job.1.1", Payload: "forever", Need: endive.Resources{Processors: 1000},
			}}
			_, err = client.Send(tt.context(t), to, command)
			is.Equal(classOf(err), tt.writing)
			is.Equal(p.Counts(true).Workers.ByTask["job.1"].Starts == 1, tt.done)
			p.Faults().Clear()
			report, err := client.Send(t.Context(), to, command)
			if tt.fault.Kind == fault.Duplicated {
				is.Equal(classOf(err), "unknown")
				return
			}
			is.NoErr(err)
			is.Equal(report.Refused, "")
			is.Equal(len(report.Tasks), 1)
			is.Equal(p.Counts(true).Workers.ByTask["job.1"].Starts, 1)
		})
	}
}

// TestWorkersPaused proves that a worker that was paused with a start in its
// socket doesn't carry it out after the sender has given it up, nor a command
// for a former run.
func TestWorkersPaused(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	client := worker.New(newHTTP())
	to := p.Addresses().Workers["planner-1"]
	command := endive.WorkerCommand{Slice: "planner.gogledd", Epoch: 1, Sequence: 1, LeaseMillis: 60000}
	_, err := client.Send(t.Context(), to, command)
	is.NoErr(err)
	switchOn(p, fault.Worker, fault.Fault{Kind: fault.Paused})
	command.Sequence = 2
	command.Start = []endive.StartTask{{Task: "job.1", Attempt: "job.1.1", Need: endive.Resources{Processors: 1}}}
	past, cancel := context.WithDeadline(t.Context(), time.Now())
	defer cancel()
	_, err = client.Send(past, to, command)
	is.Equal(classOf(err), "unavailable") // the sender itself was paused
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(shortly))
	defer cancel()
	_, err = client.Send(ctx, to, command)
	is.Equal(classOf(err), "unknown")
	p.Faults().Clear()
	count := p.Counts(true).Workers.Workers["planner-1"]
	for count.TooLate == 0 && count.Starts == 0 {
		_, _ = insts.New(newHTTP(), p.Addresses().Instances).List(t.Context())
		count = p.Counts(true).Workers.Workers["planner-1"]
	}
	is.Equal(count.Starts, 0)

	var report endive.WorkerReport
	answer, err := newHTTP().PostNotAfter(t.Context(), to, "/v1/command", "former:99999999", command, &report)
	is.NoErr(err)
	is.Equal(answer.Status, 412)
	_, err = client.Send(t.Context(), to, command)
	is.NoErr(err)
	is.Equal(p.Counts(false).Workers.Starts, 1)
}

// TestPlatformAllSilent proves that of several connections that went silent
// together only one costs a request its answer.
func TestPlatformAllSilent(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	client := insts.New(newHTTP(), p.Addresses().Instances)
	switchOn(p, fault.Instances, fault.Fault{Kind: fault.Paused})
	listers := []*lister{{client: client}, {client: client}}
	for _, l := range listers {
		l.done.Add(1)
		go l.run(t.Context())
	}
	for p.Counts(false).Parts[fault.Instances].MostConnections < len(listers) {
		_, _ = object.New(newHTTP(), p.Addresses().Objects).Get(t.Context(), "none")
	}
	p.Faults().Clear()
	for _, l := range listers {
		l.done.Wait()
		is.NoErr(l.err)
	}
	switchOn(p, fault.Instances, fault.Fault{Kind: fault.Silent})
	ctx, cancel := context.WithTimeout(t.Context(), time.Duration(shortly))
	defer cancel()
	_, err := client.List(ctx)
	is.Equal(classOf(err), "unavailable")
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
