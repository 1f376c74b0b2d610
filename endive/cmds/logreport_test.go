package cmds

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// sampleLog holds log lines about three workflows, of which one was cancelled, and a
// truncated line.
const sampleLog = `
{"@message":"decision","@timestamp":"2026-12-04T05:00:00.050000Z","kind":"submit","job":"aa","queue":"quick","outcome":"accepted","millis":50}
{"@message":"decision","@timestamp":"2026-12-04T05:00:00.060000Z","kind":"job","job":"aa","outcome":"taken up"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:00.100000Z","kind":"advice","job":"aa","outcome":"taken"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:00.300000Z","kind":"start","job":"aa","task":"aa.0.0.0","outcome":"ordered"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:00.900000Z","kind":"start","job":"aa","task":"aa.0.0.1","outcome":"ordered"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:01.000000Z","kind":"end","job":"aa","task":"aa.0.0.0","outcome":"failed"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:01.050000Z","kind":"start","job":"aa","task":"aa.0.0.0","outcome":"ordered"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:01.400000Z","kind":"end","job":"aa","task":"aa.0.0.0","outcome":"succeeded"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:01.410000Z","kind":"job","job":"aa","outcome":"waits for its account's cap"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:01.600000Z","kind":"start","job":"aa","task":"aa.0.1.0","outcome":"ordered"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:01.950000Z","kind":"end","job":"aa","task":"aa.0.1.0","outcome":"succeeded"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:02.000000Z","kind":"job","job":"aa","outcome":"succeeded"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:07.010000Z","kind":"submit","job":"bb","queue":"quick","outcome":"accepted","millis":10}
{"@message":"decision","@timestamp":"2026-12-04T05:00:07.000000Z","kind":"job","job":"bb","outcome":"taken up"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:07.110000Z","kind":"start","job":"bb","task":"bb.0.0.0","outcome":"ordered"}
{"@message":"decision","@timestamp":"2026-12-04T05:00:08.000000Z","kind":"submit","job":"cc","queue":"quick","outcome":"accepted","millis":10}
{"@message":"decision","@timestamp":"2026-12-04T05:00:08.500000Z","kind":"job","job":"cc","outcome":"cancelled"}
{"@message":"decision","torn
`

func TestLogReport(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want []string
	}{
		{"all", nil, []string{
			"quick all store 2 10 10 50",
			"quick all holder 2 0 0 10",
			"quick all advice 1 40 40 40",
			"quick all room 2 100 100 200",
			"quick all held 1 190 190 190",
			"quick all work 1 1700 1700 1700",
			"quick all work.spread 1 600 600 600",
			"quick all work.again 1 150 150 150",
			"quick all work.run 1 700 700 700",
			"quick all work.next 1 200 200 200",
			"quick all whole 1 2000 2000 2000",
		}},
		{"spans", []string{"--every", "5s"}, []string{
			"quick 05:00:00.000 room 1 200 200 200",
			"quick 05:00:05.000 room 1 100 100 100",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "entry.log")
			is.NoErr(os.WriteFile(path, []byte(sampleLog), 0o600))
			var out, errs bytes.Buffer
			env := Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }, Clock: endive.SystemClock{}}
			is.Equal(int(Run(context.Background(), env, append([]string{"log", "report", path}, tt.args...))), 0)
			is.Equal(errs.String(), "endive: 1 line could not be read\n")
			got := make(map[string]bool)
			for _, row := range strings.Split(strings.TrimSpace(out.String()), "\n") {
				got[strings.Join(strings.Fields(row), " ")] = true
			}
			for _, row := range tt.want {
				is.True(got[row]) // a row of the report
			}
		})
	}
}
