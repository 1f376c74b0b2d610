package runner

import (
	"sync"

	"endiveroute.example/endive"
)

// Journal counts the starts and ends of tasks on all workers. It is safe for
// concurrent use.
type Journal struct {
	mu      sync.Mutex
	workers map[endive.WorkerID]*WorkerCount
	tasks   map[endive.TaskID]*taskRecord
}

// taskRecord contains the counts of a task and its checkpoint.
type taskRecord struct {
	TaskCount
	// checkpointedRunTime is the task's run time at its last checkpoint.
	checkpointedRunTime endive.Interval
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{
		workers: make(map[endive.WorkerID]*WorkerCount),
		tasks:   make(map[endive.TaskID]*taskRecord),
	}
}

// addWorker registers a worker with empty counts.
func (j *Journal) addWorker(worker endive.WorkerID, size endive.Resources) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.workers[worker] = &WorkerCount{Size: size}
}

// updateWorker calls change with the counts of a worker, under the lock.
func (j *Journal) updateWorker(worker endive.WorkerID, change func(*WorkerCount)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	change(j.workers[worker])
}

// recordStart counts the start of a task on a worker, and returns the task's run
// time at its last checkpoint.
func (j *Journal) recordStart(worker endive.WorkerID, task endive.TaskID, need endive.Resources) endive.Interval {
	j.mu.Lock()
	defer j.mu.Unlock()
	record := j.tasks[task]
	if record == nil {
		record = &taskRecord{}
		record.Ends = make(map[endive.TaskState]int)
		j.tasks[task] = record
	}
	record.Starts++
	record.Workers = append(record.Workers, worker)
	record.Running++
	record.MostAtOnce = max(record.MostAtOnce, record.Running)
	w := j.workers[worker]
	w.Starts++
	w.Running++
	w.Used = w.Used.Add(need)
	w.MostUsed = maxResources(w.MostUsed, w.Used)
	return record.checkpointedRunTime
}

// recordEnd counts the end of a task on a worker.
func (j *Journal) recordEnd(worker endive.WorkerID, task endive.TaskID, need endive.Resources, state endive.TaskState, progress endive.Interval) {
	j.mu.Lock()
	defer j.mu.Unlock()
	record := j.tasks[task]
	record.Running--
	record.Ends[state]++
	if state == endive.TaskCheckpointed {
		record.checkpointedRunTime = progress
	}
	w := j.workers[worker]
	w.Running--
	w.Used = w.Used.Sub(need)
}

// Counts returns the totals, with details also the counts of each worker and
// task.
func (j *Journal) Counts(details bool) Counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := Counts{Tasks: len(j.tasks), Ends: make(map[endive.TaskState]int)}
	for _, entry := range j.tasks {
		counts.Starts += entry.Starts
		counts.Running += entry.Running
		counts.MostAtOnce = max(counts.MostAtOnce, entry.MostAtOnce)
		if entry.Starts > 1 {
			counts.StartedAgain++
		}
		for state, n := range entry.Ends {
			counts.Ends[state] += n
		}
	}
	for _, w := range j.workers {
		counts.OverSize += w.OverSize
		if !w.MostUsed.Fits(w.Size) {
			counts.OverUsed++
		}
	}
	if details {
		j.addDetails(&counts)
	}
	return counts
}

func (j *Journal) addDetails(counts *Counts) {
	counts.Workers = make(map[endive.WorkerID]WorkerCount, len(j.workers))
	for id, w := range j.workers {
		counts.Workers[id] = *w
	}
	counts.ByTask = make(map[endive.TaskID]TaskCount, len(j.tasks))
	for id, entry := range j.tasks {
		one := entry.TaskCount
		one.Ends = make(map[endive.TaskState]int, len(entry.Ends))
		for state, n := range entry.Ends {
			one.Ends[state] = n
		}
		one.Workers = append([]endive.WorkerID(nil), entry.Workers...)
		counts.ByTask[id] = one
	}
}

// maxResources returns the larger of a and b in each dimension.
func maxResources(a, b endive.Resources) endive.Resources {
	return endive.Resources{
		Processors:   max(a.Processors, b.Processors),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
