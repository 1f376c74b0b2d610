package strict

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"endiveroute.example/endive"
)

// describeValue describes a parsed value in an error message.
func describeValue(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("the text %q", Shorten(v))
	case bool:
		return fmt.Sprint(v)
	case map[string]any:
		return "an object"
	case []any, []map[string]any:
		return "a list"
	}
	if isNumber(value) {
		return "the number " + numberText(value)
	}
	return "a date"
}

// describeType describes in an error message how to write a value of a type.
func describeType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[endive.Interval]():
		return `write it as text such as "1.5s" or "200ms"`
	case t.Kind() == reflect.String || reflect.PointerTo(t).Implements(textType):
		return "it must be text"
	case t.Kind() == reflect.Bool:
		return "it must be true or false"
	case t.Kind() == reflect.Struct:
		return "it must be an object"
	case t.Kind() == reflect.Slice:
		return "it must be a list"
	default:
		return "it must be a number"
	}
}

// fieldKey returns the key of a struct field from its tag, or the field's name if the
// tag has none. The key "-" excludes the field.
func fieldKey(field reflect.StructField, tag string) string {
	key, _, _ := strings.Cut(field.Tag.Get(tag), ",")
	if key == "" {
		return field.Name
	}
	return key
}

var plainKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// joinPath returns the path of a key in the object at path. Keys with characters other
// than letters, digits, "_" and "-" are quoted, since they would make the path
// ambiguous.
func joinPath(path, key string) string {
	key = Shorten(key)
	if !plainKey.MatchString(key) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

// indexPath returns the path of the i-th element, from 0, of the list at path.
func indexPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// displayPath returns path, or "input" for the empty path of the outermost value.
func displayPath(path string) string {
	if path == "" {
		return "input"
	}
	return path
}

// maxQuoted is the maximum length of input text that a finding quotes, in bytes.
const maxQuoted = 60

// Shorten truncates long input text, so that a finding can quote it.
func Shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoted], "") + "…"
}
