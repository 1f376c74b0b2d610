// Package exec sends attempts of requests to executors over HTTP, with the
// protocol in docs/PLATFORM.md. It sends an attempt at most once. It reports an
// attempt as answered only if the response is complete and belongs to the
// request.
package exec
