// Package blobs simulates the platform's object store. It stores the objects in
// memory.
package blobs
