// Package apiv1 defines the JSON types, paths and headers of version 1 of the HTTP
// interface that entries offer to clients and operators. docs/API.md describes each call
// and its errors.
package apiv1
