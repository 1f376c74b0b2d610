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

// checker compares a tree of parsed values with a Go type. It collects what
// doesn't fit, and keeps the rest.
type checker struct {
	// tag names the struct tag with the keys, "json" or "toml".
	tag      string
	findings endive.Findings
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// read compares tree with the struct that into points to, and fills in what
// fits. The json tags of the struct name the same keys as those of c.tag.
func (c *checker) read(tree, into any) Result {
	kept, ok := c.value(tree, reflect.TypeOf(into).Elem(), "")
	if !ok {
		return Result{Findings: c.findings, Malformed: true}
	}
	data, err := json.Marshal(kept)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return Malformed("input", "can't be read: %s", err)
	}
	return Result{Findings: c.findings}
}

// value compares the value at place with type t. It returns what to keep of it,
// if anything.
func (c *checker) value(value any, t reflect.Type, place string) (any, bool) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if value == nil {
		c.findings.Add(named(place), "is null; leave the key out instead")
		return nil, false
	}
	if reflect.PointerTo(t).Implements(textType) {
		return value, c.text(value, t, place)
	}
	switch t.Kind() {
	case reflect.Struct:
		return c.table(value, t, place)
	case reflect.Slice:
		return c.list(value, t, place)
	case reflect.String, reflect.Bool:
		return value, c.fits(!isNumber(value) && reflect.TypeOf(value).Kind() == t.Kind(), value, t, place)
	case reflect.Float64:
		return value, c.fits(isNumber(value), value, t, place)
	default:
		return value, c.fits(isNumber(value), value, t, place) && c.integer(value, t, place)
	}
}

// fits adds the finding of a value that isn't of type t, unless ok.
func (c *checker) fits(ok bool, value any, t reflect.Type, place string) bool {
	if !ok {
		c.findings.Add(named(place), "is %s; %s", kindOf(value), expected(t))
	}
	return ok
}

// text checks a value that is written as text, such as an interval.
func (c *checker) text(value any, t reflect.Type, place string) bool {
	text, ok := value.(string)
	if !c.fits(ok, value, t, place) {
		return false
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		c.findings.Add(named(place), "is %q; %s", Shorten(text), expected(t))
		return false
	}
	return true
}

// table checks an object or a TOML table, and returns it without what is wrong.
func (c *checker) table(value any, t reflect.Type, place string) (any, bool) {
	object, ok := value.(map[string]any)
	if !c.fits(ok, value, t, place) {
		return nil, false
	}
	fields := c.fields(t)
	kept := make(map[string]any, len(object))
	for _, key := range slices.Sorted(maps.Keys(object)) {
		inner := join(place, key)
		field, ok := fields[key]
		if !ok {
			c.findings.Add(inner, "is unknown; the nearest known key is %q", Nearest(key, slices.Sorted(maps.Keys(fields))))
			continue
		}
		if one, ok := c.value(object[key], field, inner); ok {
			kept[key] = one
		}
	}
	return kept, true
}

// fields returns the types of the fields of t by key.
func (c *checker) fields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		field := t.Field(i)
		if key := keyOf(field, c.tag); key != "-" && field.IsExported() {
			fields[key] = field.Type
		}
	}
	return fields
}

// list checks an array. In place of an element that is wrong it keeps an empty
// one, so that the places of those behind it stay as they are.
func (c *checker) list(value any, t reflect.Type, place string) (any, bool) {
	list, ok := value.([]any)
	if tables, isTables := value.([]map[string]any); isTables {
		ok = true
		for _, one := range tables {
			list = append(list, one)
		}
	}
	if !c.fits(ok, value, t, place) {
		return nil, false
	}
	kept := make([]any, 0, len(list))
	for i, one := range list {
		element, ok := c.value(one, t.Elem(), index(place, i))
		if !ok {
			element = reflect.Zero(t.Elem()).Interface()
		}
		kept = append(kept, element)
	}
	return kept, true
}

// integer checks that a number is whole and in the range of t.
func (c *checker) integer(value any, t reflect.Type, place string) bool {
	text := numberText(value)
	target := reflect.New(t).Elem()
	if target.CanUint() {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || target.OverflowUint(n) || n > math.MaxInt64 {
			c.findings.Add(named(place), "is %s; it must be a whole number from 0 to %d", Shorten(text), int64(math.MaxInt64))
			return false
		}
		return true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || target.OverflowInt(n) {
		c.findings.Add(named(place), "is %s; it must be a whole number", Shorten(text))
		return false
	}
	return true
}

// isNumber reports whether value is a number of JSON or TOML.
func isNumber(value any) bool {
	switch value.(type) {
	case json.Number, int64, float64:
		return true
	}
	return false
}

// numberText returns a number as it would be written.
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
