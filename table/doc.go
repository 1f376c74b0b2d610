// Package table implements an HTTP client of the platform's transactional table service, which
// is specified in docs/PLATFORM.md.
package table
