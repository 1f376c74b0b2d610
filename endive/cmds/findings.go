package cmds

// findCauses returns the decisions of interest among the lines about one job, which are sorted by time,
// with what they rest on.
func findCauses(lines []logLine) []finding {
	found := []finding{}
	starts := make(map[string][]logLine)
	for _, l := range lines {
		switch {
		case l.Kind == "job" && (l.Outcome == "failed" || l.Outcome == "cancelled"):
			found = append(found, finding{Case: caseEnded, Decision: l, Evidence: verdictEvidence(lines, l)})
		case l.Kind == "start" && l.Outcome == "ordered":
			previous, known := previousRun(starts[l.Task], l)
			starts[l.Task] = append(starts[l.Task], l)
			if known && !endReported(lines, l, previous) {
				found = append(found, finding{Case: caseStartedAgain, Decision: l, Evidence: runEvidence(lines, l, previous)})
			}
		}
	}
	for _, l := range lines {
		if l.Kind == "end" && l.Outcome == "lost" && !startedAfter(starts[l.Task], l) {
			found = append(found, finding{Case: caseGivenUp, Decision: l, Evidence: laterReports(lines, l)})
		}
	}
	return found
}

// previousRun returns the run of a task before a start, and whether one is known. Lines of earlier builds
// don't name it: then it is the run of the start before.
func previousRun(before []logLine, start logLine) (int64, bool) {
	if start.PreviousRun != 0 {
		return start.PreviousRun, true
	}
	if len(before) == 0 {
		return 0, false
	}
	last := before[len(before)-1].Run
	return last, last != start.Run
}

// isReport reports whether the line is about an end that a worker has reported.
func (l logLine) isReport() bool {
	switch l.Outcome {
	case "succeeded", "failed", "stopped", "lapsed", "broken", "alone":
		return l.Kind == "end"
	}
	return false
}

// endReported reports whether a run had ended, other than by a success, when its task started again.
func endReported(lines []logLine, start logLine, run int64) bool {
	for _, l := range lines {
		if l.Task == start.Task && l.Run == run && l.isReport() && l.Outcome != "succeeded" && !l.Time.After(start.Time) {
			return true
		}
	}
	return false
}

// startedAfter reports whether one of the starts followed the line.
func startedAfter(starts []logLine, l logLine) bool {
	return len(starts) > 0 && !starts[len(starts)-1].Time.Before(l.Time)
}

// verdictEvidence returns the lines that the end of a job rests on. Lines of earlier builds name no
// task: then those of all tasks may be the cause.
func verdictEvidence(lines []logLine, verdict logLine) []logLine {
	evidence := []logLine{}
	for _, l := range lines {
		if l.Kind != "end" || l.Time.After(verdict.Time) || verdict.Task != "" && l.Task != verdict.Task {
			continue
		}
		crash := l.isCrash() && verdict.Evidence != "reported"
		failure := l.Outcome == "failed" && verdict.Evidence != "crashes"
		if verdict.Outcome == "failed" && (crash || failure) {
			evidence = append(evidence, l)
		}
	}
	return evidence
}

// isCrash reports whether the line is about a crash of a worker under a task.
func (l logLine) isCrash() bool {
	switch l.Outcome {
	case "suspect", "late crash", "crash proven", "not crashed":
		return true
	}
	return false
}

// runEvidence returns the lines about the run before a second start, also later ones, and those about
// takeovers between the two starts.
func runEvidence(lines []logLine, start logLine, run int64) []logLine {
	evidence := []logLine{}
	seen := false
	for _, l := range lines {
		switch {
		case l.Kind == "tenure":
			if seen && l.Pool == start.Pool && !l.Time.After(start.Time) {
				evidence = append(evidence, l)
			}
		case l.Task == start.Task && l.Run == run:
			seen = true
			evidence = append(evidence, l)
		}
	}
	return evidence
}

// laterReports returns what became known of a run after it was given up.
func laterReports(lines []logLine, lost logLine) []logLine {
	reports := []logLine{}
	for _, l := range lines {
		if l.Kind == "end" && l.Task == lost.Task && l.Run == lost.Run && (l.isCrash() || l.isReport()) {
			reports = append(reports, l)
		}
	}
	return reports
}
