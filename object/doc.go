// Package object implements an HTTP client of the platform's object store, which is specified
// in docs/PLATFORM.md.
package object
