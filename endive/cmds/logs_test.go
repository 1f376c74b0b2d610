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

func TestLogFollow(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name string, lines ...string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
		return path
	}
	holder := write("entry-1.log",
		`{"@level":"info","@message":"decision","@module":"entry-1","@timestamp":"2026-12-04T05:00:00.250000Z","kind":"start","job":"aa","task":"aa.0.0.1","run":3,"worker":"i-1","outcome":"ordered","reason":"tier 0"}`,
		`{"@level":"info","@message":"decision","@module":"entry-1","@timestamp":"2026-12-04T05:00:00.300000Z","kind":"start","job":"bb","task":"bb.0.0.1","outcome":"ordered"}`,
		`{"torn aa`)
	other := write("entry-2.log",
		`{"@level":"info","@message":"decision","@module":"entry-2","@timestamp":"2026-12-04T05:00:00.000000Z","kind":"submit","job":"aa","outcome":"accepted","reason":"stored"}`)
	var out, errs bytes.Buffer
	env := Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errs, Getenv: func(string) string { return "" }, Clock: endive.SystemClock{}}
	is.Equal(int(Run(context.Background(), env, []string{"log", "follow", "aa", holder, other})), 0)
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(rows), 3)
	is.Equal(strings.Fields(rows[1]), strings.Fields("05:00:00.000 +0.000 s entry-2 submit aa accepted stored"))
	is.Equal(strings.Fields(rows[2]), strings.Fields("05:00:00.250 +0.250 s entry-1 start aa.0.0.1 3 i-1 ordered tier 0"))
	is.Equal(errs.String(), "endive: 1 line could not be read\n")
}
