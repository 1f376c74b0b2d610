package admin

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/insts"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/fleet"
	"endiveroute.example/endive/stand/serve"
)

type noCounts struct{}

func (noCounts) Counts(bool) Counts { return Counts{} }

func TestFaults(t *testing.T) {
	tests := []struct {
		name, method, body string
		status             int
		want               string
	}{
		{"unknown kind", "POST", `{"fault":"sleepy","on":true}`, 400, `"sleepy" is not a known fault`},
		{"unknown field", "POST", `{"fault":"down","where":"de"}`, 400, "where"},
		{"all findings", "POST", `{"fault":"slow","part":"cellar","count":-1,"on":true}`, 400, "part: "},
		{"leaving", "POST", `{"fault":"leaving","instance":"quote-1","on":true}`, 200, `"leaving"`},
		{"another", "POST", `{"fault":"cut","region":"de","on":true}`, 200, `"cut"`},
		{"listed", "GET", "", 200, `"leaving"`},
		{"off", "POST", `{"fault":"leaving","instance":"quote-1"}`, 200, `[{"region":"de","fault":"cut"}]`},
		{"all off", "DELETE", "", 200, "[]"},
	}
	list := fleet.New(fakes.NewClock(), fault.NewSet(), fault.Target{})
	list.Put(endive.Instance{ID: "quote-1", Kind: endive.KindExecutor})
	h := New(noCounts{}, fault.NewSet(), list)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			answer := h.Handle(t.Context(), serve.Request{Method: tt.method, Path: "/v1/faults", Body: []byte(tt.body)})
			is.Equal(answer.Status, tt.status)
			is.True(strings.Contains(string(answer.Body), tt.want)) // answer
			is.Equal(list.Current()[0].Leaving, strings.Contains(string(answer.Body), `"leaving"`))
		})
	}
}

func TestInstances(t *testing.T) {
	is := is.New(t)
	h := New(noCounts{}, fault.NewSet(), fleet.New(fakes.NewClock(), fault.NewSet(), fault.Target{}))
	count := func(method, path, body string) int {
		var list insts.List
		answer := h.Handle(t.Context(), serve.Request{Method: method, Path: path, Body: []byte(body)})
		is.NoErr(json.Unmarshal(answer.Body, &list))
		return len(list.Instances)
	}
	is.Equal(count("POST", "/v1/instances", `{"id":"entry-1","kind":"entry","address":"127.0.0.1:1"}`), 1)
	is.Equal(count("GET", "/v1/instances", ""), 1)
	is.Equal(count("DELETE", "/v1/instances/entry-1", ""), 0)
}
