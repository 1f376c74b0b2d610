package rows

import "endiveroute.example/endive"

// Roster lists the workers on which the slice's holder may have started tasks. It is
// written before the first start on a worker, so that the next holder queries all of these
// workers even if the instance list is out of date.
type Roster struct {
	Workers []endive.WorkerID `json:"workers"`
}
