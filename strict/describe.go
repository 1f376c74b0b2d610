package strict

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"endiveroute.example/endive"
)

// describeValue says for a person what a parsed value is.
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

// describeType says for a person what a value of type t looks like.
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

// fieldKey returns the key of a struct field, "-" for none.
func fieldKey(field reflect.StructField, tag string) string {
	key, _, _ := strings.Cut(field.Tag.Get(tag), ",")
	if key == "" {
		return field.Name
	}
	return key
}

var plainKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// joinPath returns the place of a key below place. A key that could be mistaken for
// something else is quoted.
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

// indexPath returns the place of an element of the list at place.
func indexPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// displayPath returns place, or a word for the outermost value.
func displayPath(path string) string {
	if path == "" {
		return "input"
	}
	return path
}

// maxQuoted bounds the text of the input that a finding repeats, in bytes.
const maxQuoted = 60

// Shorten cuts long input text, so that a finding can repeat it.
func Shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoted], "") + "…"
}
