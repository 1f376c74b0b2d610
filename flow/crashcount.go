package flow

import (
	"slices"

	"endiveroute.example/endive"
)

// all returns the number of crashes under the task, proven or not, whether they make it suspected or not.
func (c *crashes) all() int { return c.total() + len(c.outlived) }

// countProven returns how many of the runs are proven to have been on a worker that crashed.
func (c *crashes) countProven(runs ...endive.RunNumber) int {
	count := 0
	for _, n := range runs {
		if slices.Contains(c.proven, n) {
			count++
		}
	}
	return count
}

// provenTotal returns the number of proven crashes that make the task suspected.
func (c *crashes) provenTotal() int { return c.countProven(c.runs...) + c.countProven(c.late...) }

// convincing reports whether proven crashes soon after starts show that the task is their cause. othersCrash
// is true if workers have also crashed without a suspect lately.
func (c *crashes) convincing(othersCrash bool) bool {
	return c.countProven(c.runs...) >= maxCrashes || c.countProven(c.isolated...) >= maxIsolatedCrashes && !othersCrash
}

// tooMany reports whether so many workers have surely crashed under the task that it is given up, be it their
// cause or not.
func (c *crashes) tooMany() bool {
	return c.provenTotal()+c.countProven(c.outlived...) >= maxAllCrashes
}

// removeUnproven removes an unproven crash.
func (c *crashes) removeUnproven(n endive.RunNumber) {
	c.unproven = slices.DeleteFunc(c.unproven, func(run pendingRun) bool { return run.number == n })
}

// String describes the crashes for the log.
func (c *crashes) String() string {
	text := formatInt(int64(len(c.runs))) + " workers have crashed under the task, " + formatInt(int64(len(c.isolated))) +
		" of them after it had started there alone"
	if len(c.late) > 0 {
		text += ", and " + formatInt(int64(len(c.late))) + " later after a start"
	}
	return text
}

// verdict describes the crashes of a task that is given up.
func (c *crashes) verdict() string {
	return c.String() + ", " + formatInt(int64(len(c.proven))) + " of these crashes are proven"
}

// clear ends the suspicion for a crash, which still counts towards maxAllCrashes.
func (c *crashes) clear(n endive.RunNumber) {
	for _, runs := range []*[]endive.RunNumber{&c.runs, &c.isolated, &c.late} {
		*runs = slices.DeleteFunc(*runs, func(other endive.RunNumber) bool { return other == n })
	}
	if !slices.Contains(c.outlived, n) {
		c.outlived = append(c.outlived, n)
	}
	c.lateSuspected = c.lateSuspected && c.total() >= minLateCrashes
}
