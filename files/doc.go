// Package files loads tickets and jobs that operators write as TOML or JSON files. It
// reports all errors of a file together.
package files
