// Command stand runs simulated platform services, workers and executors for
// demonstrations and tests.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("stand", "Simulated platform services, workers and executors of a cell.")
	(&runCommand{}).configure(app)
	(&countsCommand{}).configure(app)
	(&faultCommand{}).configure(app)
	(&portsCommand{}).configure(app)
	_, err := app.Parse(os.Args[1:])
	app.FatalIfError(err, "")
}
