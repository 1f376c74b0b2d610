package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"endiveroute.example/endive"
)

// maxDepth bounds how deep objects and arrays may stand in each other.
const maxDepth = 32

var errDepth = fmt.Errorf("objects and arrays stand more than %d deep in each other", maxDepth)

// JSON reads data into the struct that into points to. Where
// something is wrong, into holds what was good.
func JSON(data []byte, into any) Result {
	p := parser{decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	tree, err := p.value("", 0)
	if err == nil {
		err = p.end()
	}
	if err != nil {
		return Malformed("line "+p.line(data, err), "isn't JSON: %s", reason(err))
	}
	c := checker{tag: "json", findings: p.findings}
	return c.read(tree, into)
}

// parser makes a tree of JSON tokens, and finds keys that are given twice.
type parser struct {
	decoder  *json.Decoder
	findings endive.Findings
}

// value reads one value, which stands at place.
func (p *parser) value(place string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errDepth
	}
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return p.object(place, depth)
	case json.Delim('['):
		return p.array(place, depth)
	}
	return token, nil
}

// object reads the rest of an object.
func (p *parser) object(place string, depth int) (any, error) {
	object := make(map[string]any)
	for p.decoder.More() {
		token, err := p.decoder.Token()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string)
		inner := join(place, key)
		if _, ok := object[key]; ok {
			p.findings.Add(inner, "is given twice")
		}
		if object[key], err = p.value(inner, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := p.decoder.Token()
	return object, err
}

// array reads the rest of an array.
func (p *parser) array(place string, depth int) (any, error) {
	array := []any{}
	for p.decoder.More() {
		value, err := p.value(index(place, len(array)), depth+1)
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := p.decoder.Token()
	return array, err
}

// end makes sure that nothing follows the value.
func (p *parser) end() error {
	if _, err := p.decoder.Token(); err != io.EOF {
		return errors.New("something follows the end of the value")
	}
	return nil
}

// line returns the line where err was met, counted from 1.
func (p *parser) line(data []byte, err error) string {
	at := p.decoder.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		at = syntax.Offset
	}
	return fmt.Sprint(1 + bytes.Count(data[:min(int(at), len(data))], []byte("\n")))
}

// reason says what was wrong with the syntax.
func reason(err error) string {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return "it ends too soon"
	}
	return err.Error()
}
