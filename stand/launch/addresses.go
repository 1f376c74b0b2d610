package launch

import "endiveroute.example/endive"

// Addresses are the addresses on which the simulated services listen, or are
// configured to listen. The kernel always chooses the ports of workers and
// executors.
type Addresses struct {
	Table     endive.Address                       `json:"table"`
	Objects   endive.Address                       `json:"objects"`
	Instances endive.Address                       `json:"instances"`
	Control   endive.Address                       `json:"control"`
	Workers   map[endive.WorkerID]endive.Address   `json:"workers"`
	Executors map[endive.ExecutorID]endive.Address `json:"executors"`
}

// loopbackAnyPort is a loopback address whose port the kernel chooses.
const loopbackAnyPort = endive.Address("127.0.0.1:0")

// Defaults sets empty addresses to loopbackAnyPort.
func (a *Addresses) Defaults() {
	for _, address := range []*endive.Address{&a.Table, &a.Objects, &a.Instances, &a.Control} {
		if *address == "" {
			*address = loopbackAnyPort
		}
	}
}
