// Package rest sends HTTP requests at most once, and checks that each response is
// complete and belongs to its request. docs/PLATFORM.md describes the headers. The
// clients for the platform, workers and executors use it.
package rest
