package files

import "endiveroute.example/endive"

// LoadJob reads a job from a file, sets its defaults and validates it. A key
// that isn't empty replaces the key in the file.
func LoadJob(path string, key endive.IdempotencyKey) (endive.Job, error) {
	var job endive.Job
	result, err := Load(path, &job)
	if err != nil {
		return endive.Job{}, err
	}
	if key != "" {
		job.Key = key
	}
	job.Defaults()
	return job, Check(path, result, ValidateJob(job))
}

// ValidateJob returns the findings about a job before its submission.
func ValidateJob(job endive.Job) endive.Findings {
	var findings endive.Findings
	if job.ID != "" {
		findings.Add("id", "is given by the entry; leave it out")
	}
	job.Validate(&findings, "")
	return findings
}
