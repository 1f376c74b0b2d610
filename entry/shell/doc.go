// Package shell runs the state machines of one entry. An actor owns each
// machine, passes events to it and carries out its actions. All decisions are
// made in the machines.
package shell
