package speed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// slowFactor is how much longer tasks take on the workers of the slow kind.
const slowFactor = 1.3

// fleet returns workers of two kinds in racks of four. Every third worker is of the slow kind.
func fleet() []endive.FleetWorker {
	var workers []endive.FleetWorker
	for i := range 24 {
		kind := endive.Label("a")
		if i%3 == 2 {
			kind = "b"
		}
		workers = append(workers, endive.FleetWorker{
			ID: endive.WorkerID(fmt.Sprintf("w%d", i)), Labels: []endive.Label{kind, endive.Label(fmt.Sprintf("r%d", i/4))},
		})
	}
	return workers
}

// play records steps of tasks whose lengths differ, on workers that pick chooses.
func play(speeds endive.WorkerSpeeds, steps int, pick func(*rand.Rand) int) {
	rng := rand.New(rand.NewPCG(1, 2))
	workers := fleet()
	for range steps {
		length := 0.2 + 3*rng.Float64()
		var runs []endive.TimedRun
		for range 8 {
			i := pick(rng)
			seconds := length * (0.85 + 0.3*rng.Float64())
			if workers[i].HasLabel("b") {
				seconds *= slowFactor
			}
			runs = append(runs, endive.TimedRun{Worker: workers[i], Duration: endive.Interval(seconds * float64(time.Second))})
		}
		speeds.Record(runs)
	}
}

func TestKindsAreTold(t *testing.T) {
	is := is.New(t)
	workers := fleet()
	speeds := NewByLabel()
	is.Equal(speeds.Factor(workers[1]), 1.0)
	play(speeds, 60, func(rng *rand.Rand) int { return rng.IntN(24) })
	ratio := speeds.Factor(workers[2]) / speeds.Factor(workers[1])
	is.True(ratio > 1.15 && ratio < 1.45)
	// A worker that hasn't run anything counts like its kind.
	unknown := endive.FleetWorker{ID: "new", Labels: []endive.Label{"b", "r99"}}
	is.True(speeds.Factor(unknown) > 1.1)
}

// Steps that run on the slow kind alone must not make that kind look usual again.
func TestStepsOnOneKindTeachNothing(t *testing.T) {
	is := is.New(t)
	workers := fleet()
	speeds := NewByLabel()
	play(speeds, 60, func(rng *rand.Rand) int { return rng.IntN(24) })
	before := speeds.Factor(workers[2])
	play(speeds, 60, func(rng *rand.Rand) int { return 2 + 3*rng.IntN(8) })
	is.True(speeds.Factor(workers[2]) > before*0.95)
}
