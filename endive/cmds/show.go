package cmds

const showHelp = `
Shows the current state as the queried entry has it. --json writes all fields. Only
the holder of a slice has the committed resources and queued tasks of that slice:
"workers" and "slices" query all given entries and show the holders' state.

Examples:

  endive show entries
  endive show workers --entry 127.0.0.1:8201,127.0.0.1:8202,127.0.0.1:8203
  endive show slots --entry 127.0.0.1:8202
`

// defineShow defines the commands that show the state of an entry.
func (p *program) defineShow() {
	group := p.app.Command("show", "State of entries, instances, workers, slices, accounts and slots, as an entry has it.")
	p.add(group, "entries", "Show the entries.", showHelp, &showEntries{})
	p.add(group, "instances", "Show the workers and executors, live or not.", showHelp, &showInstances{})
	p.add(group, "workers", "Show the workers with their committed resources.", showHelp, &showWorkers{})
	p.add(group, "slices", "Show the slices with their holders and queues.", showHelp, &showSlices{})
	p.add(group, "accounts", "Show what the client accounts of a cell use.", showAccountsHelp, &showAccounts{})
	p.add(group, "slots", "Show how the slots of executors are distributed over the entries.", showHelp, &showSlots{})
}
