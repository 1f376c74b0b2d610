package files

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"endiveroute.example/endive"
)

// seedInputs are inputs that exposed faults, or are examples of a kind of mistake.
var seedInputs = []string{
	"number = 7\n[[services]]\nname = \"quote\"\ntimeout = \"2s\"\n[[drains]]\ninstance = \"w\"\nremoved = true",
	"name = \"cut\"\nteam = \"t\"\npool = \"p\"\nkey = \"k\"\nkind = \"gang\"\ntasks = 4\n[need]\nmemory = 1",
	`{"number":7,"teams":[{"name":"cutters","quota":{"processors":1}}]}`,
	`{"name":"cut","team":"t","pool":"p","need":{"accelerators":1},"key":"k","runTime":"1m"}`,
	`{"number":1e400,"services":[[],null,{"slots":-0}],"NUMBER":1}`,
	"number = 0x7\nteams = [1, {}, \"a\"]\n[need.processors]",
	`{"name":"\ud800","number":18446744073709551615}`,
	"need = inf\nname = 1979-05-27T07:32:00Z",
	"{", "[[", "\xff\xfe", "",
}

// addSeeds adds each seed to a fuzz test twice, as JSON and as TOML.
func addSeeds(f *testing.F) {
	for _, seed := range seedInputs {
		f.Add(seed, true)
		f.Add(seed, false)
	}
}

// extensionOf returns the file name extension of a format.
func extensionOf(isJSON bool) string {
	if isJSON {
		return ".json"
	}
	return ".toml"
}

// FuzzTicket checks that decoding never panics, and that a ticket without findings is
// still valid and unchanged after a client has encoded it and an entry has decoded it.
func FuzzTicket(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, text string, isJSON bool) {
		var ticket, received endive.Ticket
		result, err := decode(extensionOf(isJSON), strings.NewReader(text), &ticket)
		if err != nil {
			t.Fatal(err)
		}
		ticket.Defaults()
		if len(result.MergeValidation(ticket.Validate())) > 0 {
			return
		}
		roundTrip(t, ticket, &received)
		received.Defaults()
		if got := received.Validate(); len(got) > 0 || !reflect.DeepEqual(withoutEmptyLists(ticket), withoutEmptyLists(received)) {
			t.Fatalf("%v became %v: %v", ticket, received, got)
		}
	})
}

// FuzzJob checks the same as FuzzTicket, for jobs.
func FuzzJob(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, text string, isJSON bool) {
		var job, received endive.Job
		result, err := decode(extensionOf(isJSON), strings.NewReader(text), &job)
		if err != nil {
			t.Fatal(err)
		}
		job.Defaults()
		if len(result.MergeValidation(ValidateJob(job))) > 0 {
			return
		}
		roundTrip(t, job, &received)
		received.Defaults()
		if got := ValidateJob(received); len(got) > 0 || job != received {
			t.Fatalf("%v became %v: %v", job, received, got)
		}
	})
}

// roundTrip encodes value as a client does and decodes the JSON as an entry
// does, into the struct that into points to.
func roundTrip(t *testing.T, value, into any) {
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	result, err := decode(".json", strings.NewReader(string(data)), into)
	if err != nil || len(result.Findings) > 0 {
		t.Fatalf("%s: %v %v", data, err, result.Findings)
	}
}

// withoutEmptyLists replaces empty lists by nil, since JSON omits both.
func withoutEmptyLists(t endive.Ticket) endive.Ticket {
	if len(t.Services) == 0 {
		t.Services = nil
	}
	if len(t.Pools) == 0 {
		t.Pools = nil
	}
	if len(t.Teams) == 0 {
		t.Teams = nil
	}
	if len(t.Drains) == 0 {
		t.Drains = nil
	}
	return t
}
