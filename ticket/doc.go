// Package ticket manages the configuration of an entry. It writes change tickets,
// applies tickets that other entries have written, and reports when a ticket is in
// force on every entry.
//
// A ticket is written in one transaction, which creates the row tickets/<number> and
// writes a row config/<resource key> for each resource. An entry writes a row
// entries/<id> to register itself before it serves clients, so that the writer of a
// ticket can tell which entries must confirm it.
package ticket
