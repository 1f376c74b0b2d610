// Package fleet simulates the platform's instance list, which can lag behind the
// actual state of the instances.
package fleet
