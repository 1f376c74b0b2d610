package files

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

func TestJob(t *testing.T) {
	const good = "name = \"cut\"\nteam = \"workshop\"\npool = \"planner\"\nkey = \"a\"\n[need]\nprocessors = 1000\n"
	tests := []struct {
		name, file, text string
		want             string
	}{
		{"good", "j.toml", good, ""},
		{"json", "j.json", `{"name":"cut","team":"t","pool":"p","key":"k","need":{"memory":1}}`, ""},
		{"name", "j.yaml", good, "j.yaml: file: must be named .toml or .json, so that its format is known"},
		{"long", "j.json", strings.Repeat(" ", int(MaxSize)+1), "j.json: file: is longer than 1048576 bytes"},
		{"id", "j.json", `{"id":"x","name":"cut","team":"t","pool":"p","need":{"memory":-1}}`,
			"j.json: id: is given by the entry; leave it out\nj.json: need.memory: is negative\nj.json: key: is missing; choose a key that is the same for each retry"},
		{"unknown key", "j.toml", "task = 3\n" + good, `j.toml: task: is unknown; the nearest known key is "tasks"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			path := filepath.Join(dir, tt.file)
			is.NoErr(os.WriteFile(path, []byte(tt.text), 0o600))
			_, err := LoadJob(path, "")
			var wrong *Error
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			is.True(errors.As(err, &wrong))
			is.True(endive.ErrInvalid.Has(err))
			is.Equal(strings.ReplaceAll(wrong.Error(), dir+string(filepath.Separator), ""), tt.want)
		})
	}
}

func TestMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := LoadTicket(filepath.Join(t.TempDir(), "t.toml"))
	is.True(errors.Is(err, os.ErrNotExist))
	is.True(!endive.ErrInvalid.Has(err))
}
