package apiv1

import "endiveroute.example/endive"

// Cancellation selects the jobs to cancel: one job, all jobs of a team, all jobs with a
// name, or all jobs with a name within a team.
type Cancellation struct {
	Job  endive.JobID    `json:"job,omitempty"`
	Team endive.TeamName `json:"team,omitempty"`
	Name endive.JobName  `json:"name,omitempty"`
}

// Validate returns the findings about the cancellation, none if it is valid.
func (c Cancellation) Validate() endive.Findings {
	var f endive.Findings
	switch {
	case c == Cancellation{}:
		f.Add("cancellation", "is empty; give job, or team, name or both")
	case c.Job != "" && (c.Team != "" || c.Name != ""):
		f.Add("job", "can't be given together with team or name")
	}
	if c.Team != "" {
		endive.ValidateName(&f, "team", string(c.Team))
	}
	if c.Name != "" {
		endive.ValidateName(&f, "name", string(c.Name))
	}
	if len(c.Job) > MaxID {
		f.Add("job", "is %d bytes long; at most %d are allowed", len(c.Job), MaxID)
	}
	return f
}

// Cancelled is the answer to a recorded Cancellation. Running tasks use their
// capacity until it is confirmed that they have ended.
type Cancelled struct {
	// Jobs is the number of cancelled jobs, those that had not ended yet.
	Jobs int `json:"jobs"`
}
