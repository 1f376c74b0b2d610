package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/cell"
	"endiveroute.example/endive/stand/launch"
)

// shutdownTimeout bounds how long requests in flight may continue after SIGTERM
// or SIGINT.
const shutdownTimeout = endive.Interval(2 * time.Second)

// runCommand runs the simulated services of a cell, or checks a cell file.
type runCommand struct {
	cellName      string
	addressesFile string
	entries       []string
	addresses     launch.Addresses
}

func (c *runCommand) configure(app *kingpin.Application) {
	run := app.Command("run", "Run the simulated services of a cell until SIGTERM or SIGINT.").Action(c.run)
	run.Flag("cell", "TOML file of the cell, or a built-in one: "+strings.Join(cell.BuiltIn, ", ")+".").Default(cell.Demo).StringVar(&c.cellName)
	run.Flag("addresses", "File to write the chosen addresses to, as JSON.").StringVar(&c.addressesFile)
	run.Flag("entry", "Entry to add to the instance list, as ID=ZONE=IP:PORT; may be repeated.").StringsVar(&c.entries)
	listeners := []struct {
		name string
		to   *endive.Address
	}{
		{"table", &c.addresses.Table}, {"objects", &c.addresses.Objects},
		{"instances", &c.addresses.Instances}, {"control", &c.addresses.Control},
	}
	for _, l := range listeners {
		run.Flag(l.name, "Address of the "+l.name+" listener; port 0 lets the kernel choose.").
			Default("127.0.0.1:0").StringVar((*string)(l.to))
	}
	check := app.Command("check", "Check a cell file and exit.").Action(c.check)
	check.Arg("file", "TOML file of the cell.").Required().StringVar(&c.cellName)
}

// check returns an error that lists all mistakes in the cell file.
func (c *runCommand) check(*kingpin.ParseContext) error {
	_, err := cell.Load(c.cellName)
	return err
}

func (c *runCommand) run(*kingpin.ParseContext) error {
	loaded, err := cell.Load(c.cellName)
	if err != nil {
		return err
	}
	for _, text := range c.entries {
		loaded.Entries = append(loaded.Entries, parseEntry(text))
	}
	if err := loaded.Validate().Err(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	clock := endive.SystemClock{}
	platform, err := launch.New(loaded, c.addresses, clock)
	if err != nil {
		return err
	}
	defer func() { platform.Close(shutdownTimeout.After(clock.Now())) }()
	if err := c.writeAddresses(platform.Addresses()); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// parseEntry parses ID=ZONE=IP:PORT. It leaves missing parts empty; the
// validation of the cell rejects them.
func parseEntry(text string) cell.Entry {
	id, rest, _ := strings.Cut(text, "=")
	zone, address, _ := strings.Cut(rest, "=")
	return cell.Entry{ID: endive.EntryID(id), Zone: endive.Zone(zone), Address: endive.Address(address)}
}

// writeAddresses prints the addresses as one line of JSON and writes them to the
// addresses file. It renames a temporary file, so that readers never see a
// partly written one.
func (c *runCommand) writeAddresses(addresses launch.Addresses) error {
	line, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if c.addressesFile == "" {
		return nil
	}
	temporary := c.addressesFile + ".new"
	if err := os.WriteFile(temporary, append(line, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, c.addressesFile)
}
