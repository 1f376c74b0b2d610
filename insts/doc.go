// Package insts implements an HTTP client of the platform's instance list, which is specified
// in docs/PLATFORM.md.
package insts
