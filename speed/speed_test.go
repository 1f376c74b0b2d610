package speed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// fleet returns workers of two kinds in racks of four. Every third worker is slower by 1.3, and
// the first by 2 besides.
func fleet() ([]endive.FleetWorker, []float64) {
	var workers []endive.FleetWorker
	var factors []float64
	for i := range 24 {
		kind, factor := endive.Label("a"), 1.0
		if i%3 == 2 {
			kind, factor = "b", 1.3
		}
		if i == 0 {
			factor *= 2
		}
		workers = append(workers, endive.FleetWorker{
			ID: endive.WorkerID(fmt.Sprintf("w%d", i)), Labels: []endive.Label{kind, endive.Label(fmt.Sprintf("r%d", i/4))},
		})
		factors = append(factors, factor)
	}
	return workers, factors
}

// play records steps of tasks whose lengths differ, on workers that pick chooses.
func play(speeds endive.WorkerSpeeds, steps int, pick func(*rand.Rand) int) {
	rng := rand.New(rand.NewPCG(1, 2))
	workers, factors := fleet()
	for range steps {
		length := 0.2 + 3*rng.Float64()
		var runs []endive.TimedRun
		for range 8 {
			i := pick(rng)
			seconds := length * factors[i] * (0.85 + 0.3*rng.Float64())
			runs = append(runs, endive.TimedRun{Worker: workers[i], Duration: endive.Interval(seconds * float64(time.Second))})
		}
		speeds.Record(runs)
	}
}

func TestKindsAreTold(t *testing.T) {
	for name, speeds := range map[string]endive.WorkerSpeeds{"by label": NewByLabel(), "by worker": NewByWorker()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers, _ := fleet()
			is.Equal(speeds.Factor(workers[1]), 1.0)
			play(speeds, 60, func(rng *rand.Rand) int { return rng.IntN(24) })
			ratio := speeds.Factor(workers[2]) / speeds.Factor(workers[1])
			is.True(ratio > 1.15 && ratio < 1.45)
			// A worker that hasn't run anything counts like its kind.
			unknown := endive.FleetWorker{ID: "new", Labels: []endive.Label{"b", "r99"}}
			is.True(speeds.Factor(unknown) > 1.1)
		})
	}
}

func TestSlowWorkerOfAFastKindIsTold(t *testing.T) {
	is := is.New(t)
	workers, _ := fleet()
	byWorker, byLabel := NewByWorker(), NewByLabel()
	play(byWorker, 200, func(rng *rand.Rand) int { return rng.IntN(24) })
	play(byLabel, 200, func(rng *rand.Rand) int { return rng.IntN(24) })
	is.True(byWorker.Factor(workers[0]) > 1.5*byWorker.Factor(workers[1]))
	is.Equal(byLabel.Factor(workers[0]), byLabel.Factor(workers[1]))
}

// Steps that run on the slow kind alone must not make that kind look usual again.
func TestStepsOnOneKindTeachNothing(t *testing.T) {
	is := is.New(t)
	workers, _ := fleet()
	speeds := NewByLabel()
	play(speeds, 60, func(rng *rand.Rand) int { return rng.IntN(24) })
	before := speeds.Factor(workers[2])
	play(speeds, 60, func(rng *rand.Rand) int { return 2 + 3*rng.IntN(8) })
	is.True(speeds.Factor(workers[2]) > before*0.95)
}
