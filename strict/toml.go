package strict

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// TOML reads data into the struct that into points to. Where something is wrong,
// into holds what was good. The fields' toml and json tags must name the same
// keys.
func TOML(data []byte, into any) Result {
	c := checker{tag: "toml"}
	tree := make(map[string]any)
	if _, err := toml.Decode(string(data), &tree); err != nil {
		return syntaxError(err)
	}
	return c.decode(tree, into)
}

// syntaxError returns the Reading of what the TOML library refused.
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
