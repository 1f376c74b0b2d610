package cmds

// defineTickets defines the commands about tickets.
func (p *program) defineTickets() {
	group := p.app.Command("ticket", "Change tickets: apply one, show what is in force and where.")
	apply := &ticketApply{}
	p.add(group, "apply", "Apply a ticket from a file, and wait until it is in force.", ticketApplyHelp, apply).
		Arg("file", `TOML or JSON file; "-" reads JSON from standard input.`).Required().SetValue(fileValue{&apply.file})
	p.add(group, "show", "Show the configuration in force and its tickets.", ticketShowHelp, &ticketShow{})
	entries := &ticketEntries{}
	p.add(group, "entries", "Show which entries have a ticket in force.", ticketEntriesHelp, entries).
		Arg("number", "Number of the ticket.").Required().Uint64Var(&entries.number)
}
