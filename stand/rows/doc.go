// Package rows simulates the platform's transactional table service. It keeps
// the rows in memory.
package rows
