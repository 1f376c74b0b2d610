package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// Half of the workers are in another region. Short steps must run on local workers even if
// remote workers would be packed better, and long steps on remote workers. Short tasks that
// don't fit on local workers must run on remote ones.
func TestShortStepsRunOnLocalWorkers(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.addWorkers(4)
	w.workers["w0"].remote, w.workers["w1"].remote = true, true
	h := w.startHolder()
	w.run(time.Second)
	w.submit("long", urgentQueue, stepOfTasks(2, 20*time.Second))
	w.run(1100 * time.Millisecond)
	w.submit("quick", urgentQueue, stepOfTasks(8, 300*time.Millisecond))
	w.run(1200 * time.Millisecond)
	on := func(job endive.JobID) (remote, local int) {
		for _, worker := range w.workers {
			for _, r := range worker.runs {
				switch {
				case h.machine.tasks[r.task].step.occ.job.id != job:
				case worker.remote:
					remote++
				default:
					local++
				}
			}
		}
		return remote, local
	}
	remote, local := on("long")
	is.Equal([2]int{remote, local}, [2]int{2, 0})
	remote, local = on("quick")
	is.Equal([2]int{remote, local}, [2]int{0, 8})
	w.submit("more", urgentQueue, stepOfTasks(8, 300*time.Millisecond))
	w.run(1300 * time.Millisecond)
	remote, local = on("more")
	is.Equal([2]int{remote, local}, [2]int{6, 2})
}
