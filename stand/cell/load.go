package cell

import (
	"embed"
	"os"
	"slices"

	"github.com/BurntSushi/toml"

	"endiveroute.example/endive"
)

// Demo is the name of the smallest built-in cell.
const Demo = "demo"

// BuiltIn lists the built-in cells: a reduced Pwyth cell, and the current cells of
// the users Pwyth and Tarifçi.
var BuiltIn = []string{Demo, "pwyth", "tarifci"}

//go:embed *.toml
var builtInFiles embed.FS

// Load reads a cell from a file, or a built-in cell. It reports all mistakes in
// the cell as one error of class ErrInvalid.
func Load(name string) (Cell, error) {
	read := os.ReadFile
	if slices.Contains(BuiltIn, name) {
		read, name = builtInFiles.ReadFile, name+".toml"
	}
	text, err := read(name)
	if err != nil {
		return Cell{}, endive.ErrInvalid.New("cell.Load: %w", err)
	}
	return parse(string(text))
}

func parse(text string) (Cell, error) {
	var c Cell
	meta, err := toml.Decode(text, &c)
	if err != nil {
		return Cell{}, endive.ErrInvalid.New("cell.Load: %w", err)
	}
	c.Defaults()
	var f endive.Findings
	for _, key := range meta.Undecoded() {
		f.Add(key.String(), "is not a known key")
	}
	f = append(f, c.Validate()...)
	if err := f.Err(); err != nil {
		return Cell{}, endive.ErrInvalid.Wrap(err)
	}
	return c, nil
}
