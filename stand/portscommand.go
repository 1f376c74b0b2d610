package main

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"
)

// The ports are below the range that the kernel uses for outgoing connections, so
// that no connection takes a port between its choice and its use.
const (
	firstPort = 12000
	portCount = 18000
)

// portsCommand prints addresses that are currently free, for scripts that write
// the settings of several processes before starting any of them.
type portsCommand struct {
	count int
}

func (p *portsCommand) configure(app *kingpin.Application) {
	ports := app.Command("ports", "Print free addresses on 127.0.0.1, one a line.").Action(p.run)
	ports.Arg("count", "Number of addresses.").Required().IntVar(&p.count)
}

func (p *portsCommand) run(*kingpin.ParseContext) error {
	start := rand.IntN(portCount)
	for i := 0; i < portCount && p.count > 0; i++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(start+i)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		fmt.Println(address)
		p.count--
	}
	if p.count > 0 {
		return errs.New("portsCommand.run: not enough free ports: %d more are needed", p.count)
	}
	return nil
}
