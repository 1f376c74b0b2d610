package strict

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// TOML decodes data into the struct that into points to. If some fields are
// invalid, TOML sets the others. The fields' toml and json tags must have the
// same keys.
func TOML(data []byte, into any) Result {
	c := checker{tag: "toml"}
	tree := make(map[string]any)
	if _, err := toml.Decode(string(data), &tree); err != nil {
		return syntaxError(err)
	}
	return c.decode(tree, into)
}

// syntaxError returns the Result for an error of the TOML parser.
func syntaxError(err error) Result {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return Malformed("toml", "%s", err)
	}
	path := fmt.Sprintf("line %d", parse.Position.Line)
	if parse.LastKey != "" {
		path += ", " + parse.LastKey
	}
	text := parse.Message
	if text == "" {
		text = parse.Error()
	}
	return Malformed(path, "isn't TOML: %s", text)
}
