// Package setup loads and validates the settings of an entry. sample.toml lists all
// settings.
package setup
