package strict_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/strict"
)

func TestJSON(t *testing.T) {
	tests := []struct {
		name, input string
		want        []string
	}{
		{"good", `{"number":7,"services":[{"name":"quote","timeout":"2s"}]}`, nil},
		{"all findings together", `{"numbr":7,"comment":3,"services":[{"Slots":8,"slots":"8","timeout":2,"shareEqual":1}],"teams":{},"pools":null}`, []string{
			"comment: is the number 3; it must be text",
			`numbr: is unknown; the nearest known key is "number"`,
			"pools: is null; leave the key out instead",
			`services[0].Slots: is unknown; the nearest known key is "slots"`,
			"services[0].shareEqual: is the number 1; it must be true or false",
			`services[0].slots: is the text "8"; it must be a number`,
			`services[0].timeout: is the number 2; write it as text such as "1.5s" or "200ms"`,
			"teams: is an object; it must be a list",
		}},
		{"numbers", `{"number":-1,"services":[{"slots":1.5,"timeout":"soon","connections":1e3}],"pools":[{"parts":99999999999999999999}]}`, []string{
			"number: is -1; it must be a whole number from 0 to 9223372036854775807",
			"pools[0].parts: is 99999999999999999999; it must be a whole number",
			"services[0].connections: is 1e3; it must be a whole number",
			"services[0].slots: is 1.5; it must be a whole number",
			`services[0].timeout: is "soon"; write it as text such as "1.5s" or "200ms"`,
		}},
		{"odd keys", `{"":1,"a.b":2,"number":7}`, []string{
			`"": is unknown; the nearest known key is "pools"`,
			`"a.b": is unknown; the nearest known key is "teams"`,
		}},
		{"a key twice", `{"number":7,"number":8}`, []string{"number: is given twice"}},
		{"no object", `[]`, []string{"input: is a list; it must be an object"}},
		{"empty", ``, []string{"line 1: isn't JSON: the input ends unexpectedly"}},
		{"broken", "{\n\"number\": 7,\n}", []string{"line 3: isn't JSON: invalid character '}' looking for beginning of object key string"}},
		{"two values", "{}\n{}", []string{"line 2: isn't JSON: unexpected data after the end of the value"}},
		{"deep", strings.Repeat("[", 9999), []string{"line 1: isn't JSON: objects and arrays are nested more than 32 levels deep"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var ticket endive.Ticket
			is.New(t).Equal(texts(strict.JSON([]byte(tt.input), &ticket).Findings), tt.want)
		})
	}
}

func TestTOML(t *testing.T) {
	tests := []struct {
		name, input string
		want        []string
	}{
		{"good", "number = 7\n[[services]]\nname = \"quote\"\ntimeout = \"2s\"", nil},
		{"all findings together", "nummer = 7\ncomment = 2026-01-01\n[[services]]\nslots = 1.5\ntimeout = 2\n[services.quota]", []string{
			"comment: is a date; it must be text",
			`nummer: is unknown; the nearest known key is "number"`,
			`services[0].quota: is unknown; the nearest known key is "slots"`,
			"services[0].slots: is 1.5; it must be a whole number",
			`services[0].timeout: is the number 2; write it as text such as "1.5s" or "200ms"`,
		}},
		{"a key twice", "number = 7\nnumber = 8", []string{"line 2, number: isn't TOML: Key 'number' has already been defined."}},
		{"broken", "number = 7\ncomment = ", []string{"line 2, comment: isn't TOML: unexpected EOF; expected value"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var ticket endive.Ticket
			is.New(t).Equal(texts(strict.TOML([]byte(tt.input), &ticket).Findings), tt.want)
		})
	}
}

// texts returns the findings as strings.
func texts(findings endive.Findings) []string {
	var out []string
	for _, f := range findings {
		out = append(out, f.String())
	}
	return out
}
