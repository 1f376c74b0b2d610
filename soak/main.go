// Command soak runs entries as processes on the loopback interface, injects faults
// into the processes and their connections, and checks the responses to clients and
// the runs on workers. The seed determines the sequence of faults.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

const usage = `Runs a soak test with fault injection against entries.

It starts entries as processes and simulates the store, the workers and the advice
service behind loopback proxies. While clients submit, query and cancel jobs, it
delays, resets and black-holes connections; kills, pauses, stops and restarts
entries; restarts workers; cuts workers off for 1 to 35 seconds, also several in a
row just after they have started the same task; cuts entries off from the others,
which take their pools over while they live; leaves calls to workers without an answer
and has them carried out 2 to 12 seconds later; restarts workers under their ids and
cuts them off soon after, while up to three holders in a row are killed, stopped or
replaced; and makes the store reject requests, lose responses or drop its change history. Seeds that are even have fewer faults, so
that holders last. It checks that no task runs twice at the same time or
again after it was done, that refused jobs never run, that no job is shown as failed
or cancelled without cause, and that all accepted jobs complete after the faults have
ended. events.log in its directory lists the runs and the faults. Meanwhile it withdraws keys of a client account
and changes its cap, and checks that the account's runs stay within the cap, and that
withdrawn keys and other accounts' jobs can't be used. An entry that ends by itself is
a finding, also if it is started again. STRAY marks starts after the end of a task that are no findings: a call that
was meant for a former incarnation of a worker caused them before any other call had reached the next one.

  soak --entry bin/entry --seed 7 --seconds 20

It kills only processes that it started. The exit status is 1 if a check failed.`

func main() {
	app := kingpin.New("soak", usage)
	entry := app.Flag("entry", "Path of the entry program.").Required().String()
	earlier := app.Flag("earlier", "Path of an earlier build of the entry program, to run beside the other. The entries start with it; "+
		"each restart may bring either; at the end all run the build of --entry.").String()
	seed := app.Flag("seed", "Seed of the sequence of faults.").Default("1").Int64()
	seconds := app.Flag("seconds", "How long to inject faults, in seconds.").Default("20").Int()
	entries := app.Flag("entries", "Number of entries.").Default("3").Int()
	workers := app.Flag("workers", "Number of workers of the main pool.").Default("12").Int()
	accounts := app.Flag("accounts", "Whether there are client accounts; --no-accounts for an earlier build that doesn't know them.").Default("true").Bool()
	restarts := app.Flag("restarts", "Whether workers restart under their ids, are cut off soon after and get late calls; --no-restarts for the faults of earlier soaks.").
		Default("true").Bool()
	schedule := app.Flag("schedule", "Which restarts there are: at random, or those of a day in deploy/days. By default, the seed determines it.").
		Enum(drawnSchedule, recutSchedule, recutKillSchedule)
	dir := app.Flag("dir", "Directory for settings and logs.").Default(os.TempDir()).String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s, err := newSoak(newUpgrade(*entry, *earlier), *accounts, *restarts, *dir, *seed, *entries, *workers)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if *schedule != "" {
		s.restarter.schedule = *schedule
	}
	findings := s.run(time.Duration(*seconds) * time.Second)
	s.stop()
	for _, one := range findings {
		fmt.Println("FINDING", one)
	}
	for _, one := range s.checks.strayStarts() {
		fmt.Println("STRAY", one)
	}
	fmt.Println(s.accounts.summary())
	fmt.Println(s.restarter.summary()+",", s.checks.crashSummary())
	fmt.Printf("seed %d: %d submitted, %d accepted, %d refused, %d unknown, %d runs, %d faults%s, %d findings\n",
		*seed, s.clients.submitted, s.clients.accepted, s.clients.refused, s.clients.unknown, s.checks.startCount(), s.faultCount, s.upgrade.report(), len(findings))
	if len(findings) > 0 {
		fmt.Println("logs are in", s.dir)
		os.Exit(1)
	}
}
