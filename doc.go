// Package endive holds the domain types of the endiveroute cluster scheduler
// and the interfaces of its exchangeable parts: the table service, the object
// store, the instance list, workers, executors and the clock.
//
// Each package below it implements one of these interfaces or one role of an
// entry. An entry is a server process of the scheduler. A role is a Machine: a
// state machine without I/O whose input is the time and one event, and whose
// output is a list of actions. Goroutines, sockets and clocks belong to the entry
// program, which passes events to the machines and executes their actions.
package endive
