// Package keep stores the outcomes of non-idempotent requests. It records the
// intent to run a request under the client's idempotency key before the request
// is sent, and the outcome of the request afterwards.
//
// The row intents/<service>/<key> is created before the first byte is sent to an
// executor. A second request with the same key, at any entry, gets the outcome
// recorded in the row.
package keep
