package strict

import (
	"encoding"
	"encoding/json"
	"maps"
	"math"
	"reflect"
	"slices"
	"strconv"

	"endiveroute.example/endive"
)

// checker compares a tree of parsed values with a Go type. It collects a finding for
// each value that doesn't match the type, and keeps the others.
type checker struct {
	// tag is the name of the struct tag that holds the keys, "json" or "toml".
	tag      string
	findings endive.Findings
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// decode compares tree with the struct that into points to, and sets the fields
// whose values match. The struct's json tags must have the same keys as the
// tags that checker.tag names.
func (c *checker) decode(tree, into any) Result {
	accepted, ok := c.checkValue(tree, reflect.TypeOf(into).Elem(), "")
	if !ok {
		return Result{Findings: c.findings, Malformed: true}
	}
	data, err := json.Marshal(accepted)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return Malformed("input", "cannot be decoded: %s", err)
	}
	return Result{Findings: c.findings}
}

// checkValue compares the value at path with a type. It returns the value
// without the invalid parts, and false if no part is valid.
func (c *checker) checkValue(value any, t reflect.Type, path string) (any, bool) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if value == nil {
		c.findings.Add(displayPath(path), "is null; leave the key out instead")
		return nil, false
	}
	if reflect.PointerTo(t).Implements(textType) {
		return value, c.checkText(value, t, path)
	}
	switch t.Kind() {
	case reflect.Struct:
		return c.checkObject(value, t, path)
	case reflect.Slice:
		return c.checkList(value, t, path)
	case reflect.String, reflect.Bool:
		return value, c.checkKind(!isNumber(value) && reflect.TypeOf(value).Kind() == t.Kind(), value, t, path)
	case reflect.Float64:
		return value, c.checkKind(isNumber(value), value, t, path)
	default:
		return value, c.checkKind(isNumber(value), value, t, path) && c.checkInteger(value, t, path)
	}
}

// checkKind adds a finding that value isn't of the given type, unless ok is
// true. It returns ok.
func (c *checker) checkKind(ok bool, value any, t reflect.Type, path string) bool {
	if !ok {
		c.findings.Add(displayPath(path), "is %s; %s", describeValue(value), describeType(t))
	}
	return ok
}

// checkText checks a value whose type is decoded from text, such as an interval.
func (c *checker) checkText(value any, t reflect.Type, path string) bool {
	text, ok := value.(string)
	if !c.checkKind(ok, value, t, path) {
		return false
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		c.findings.Add(displayPath(path), "is %q; %s", Shorten(text), describeType(t))
		return false
	}
	return true
}

// checkObject checks a JSON object or TOML table, and returns the object
// without its invalid fields.
func (c *checker) checkObject(value any, t reflect.Type, path string) (any, bool) {
	object, ok := value.(map[string]any)
	if !c.checkKind(ok, value, t, path) {
		return nil, false
	}
	fields := c.fieldTypes(t)
	accepted := make(map[string]any, len(object))
	for _, key := range slices.Sorted(maps.Keys(object)) {
		fieldPath := joinPath(path, key)
		field, ok := fields[key]
		if !ok {
			c.findings.Add(fieldPath, "is unknown; the nearest known key is %q", Nearest(key, slices.Sorted(maps.Keys(fields))))
			continue
		}
		if one, ok := c.checkValue(object[key], field, fieldPath); ok {
			accepted[key] = one
		}
	}
	return accepted, true
}

// fieldTypes returns the types of the fields of a struct by key.
func (c *checker) fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		field := t.Field(i)
		if key := fieldKey(field, c.tag); key != "-" && field.IsExported() {
			fields[key] = field.Type
		}
	}
	return fields
}

// checkList checks an array. It replaces invalid elements by zero values, so that the
// indexes of the others don't change.
func (c *checker) checkList(value any, t reflect.Type, path string) (any, bool) {
	list, ok := value.([]any)
	if tables, isTables := value.([]map[string]any); isTables {
		ok = true
		for _, one := range tables {
			list = append(list, one)
		}
	}
	if !c.checkKind(ok, value, t, path) {
		return nil, false
	}
	accepted := make([]any, 0, len(list))
	for i, one := range list {
		element, ok := c.checkValue(one, t.Elem(), indexPath(path, i))
		if !ok {
			element = reflect.Zero(t.Elem()).Interface()
		}
		accepted = append(accepted, element)
	}
	return accepted, true
}

// checkInteger checks that a number is an integer in the range of the given
// type.
func (c *checker) checkInteger(value any, t reflect.Type, path string) bool {
	text := numberText(value)
	target := reflect.New(t).Elem()
	if target.CanUint() {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || target.OverflowUint(n) || n > math.MaxInt64 {
			c.findings.Add(displayPath(path), "is %s; it must be a whole number from 0 to %d", Shorten(text), int64(math.MaxInt64))
			return false
		}
		return true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || target.OverflowInt(n) {
		c.findings.Add(displayPath(path), "is %s; it must be a whole number", Shorten(text))
		return false
	}
	return true
}

// isNumber reports whether value is a JSON or TOML number.
func isNumber(value any) bool {
	switch value.(type) {
	case json.Number, int64, float64:
		return true
	}
	return false
}

// numberText formats a number.
func numberText(value any) string {
	switch n := value.(type) {
	case int64:
		return strconv.FormatInt(n, 10)
	case float64:
		return strconv.FormatFloat(n, 'g', -1, 64)
	default:
		return string(value.(json.Number))
	}
}
