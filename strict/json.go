package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"endiveroute.example/endive"
)

// maxDepth is the maximum nesting depth of objects and arrays.
const maxDepth = 32

var errTooDeep = fmt.Errorf("objects and arrays are nested more than %d levels deep", maxDepth)

// JSON decodes data into the struct that into points to. If some fields are
// invalid, JSON sets the others.
func JSON(data []byte, into any) Result {
	p := parser{decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	tree, err := p.parseValue("", 0)
	if err == nil {
		err = p.expectEnd()
	}
	if err != nil {
		return Malformed("line "+p.errorLine(data, err), "isn't JSON: %s", describeError(err))
	}
	c := checker{tag: "json", findings: p.findings}
	return c.decode(tree, into)
}

// parser builds a tree of values from JSON tokens, and reports duplicate keys.
type parser struct {
	decoder  *json.Decoder
	findings endive.Findings
}

// parseValue parses the value at path.
func (p *parser) parseValue(path string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return p.parseObject(path, depth)
	case json.Delim('['):
		return p.parseArray(path, depth)
	}
	return token, nil
}

// parseObject parses an object after its opening brace.
func (p *parser) parseObject(path string, depth int) (any, error) {
	object := make(map[string]any)
	for p.decoder.More() {
		token, err := p.decoder.Token()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string)
		fieldPath := joinPath(path, key)
		if _, ok := object[key]; ok {
			p.findings.Add(fieldPath, "is given twice")
		}
		if object[key], err = p.parseValue(fieldPath, depth+1); err != nil {
			return nil, err
		}
	}
	_, err := p.decoder.Token()
	return object, err
}

// parseArray parses an array after its opening bracket.
func (p *parser) parseArray(path string, depth int) (any, error) {
	array := []any{}
	for p.decoder.More() {
		value, err := p.parseValue(indexPath(path, len(array)), depth+1)
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := p.decoder.Token()
	return array, err
}

// expectEnd returns an error if there is more input after the value.
func (p *parser) expectEnd() error {
	if _, err := p.decoder.Token(); err != io.EOF {
		return errors.New("unexpected data after the end of the value")
	}
	return nil
}

// errorLine returns the number of the line at which err occurred, counted from 1.
func (p *parser) errorLine(data []byte, err error) string {
	offset := p.decoder.InputOffset()
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	return fmt.Sprint(1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n")))
}

// describeError returns the message for a syntax error.
func describeError(err error) string {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return "the input ends unexpectedly"
	}
	return err.Error()
}
