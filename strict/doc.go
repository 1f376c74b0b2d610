// Package strict decodes JSON and TOML into structs and reports all errors together:
// unknown keys with the most similar known one, values of the wrong type, and duplicate
// keys. Unlike encoding/json, it compares keys case-sensitively.
package strict
