package serve

import (
	"net/http"
	"strconv"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/files"
	"endiveroute.example/endive/strict"
)

// jobRoutes returns the routes of the calls that submit, list, show and cancel jobs.
func (s *Server) jobRoutes() []route {
	return []route{
		{http.MethodPost, apiv1.PathJobs, s.operations, false, s.submit},
		{http.MethodGet, apiv1.PathJobs, s.operations, false, s.listJobs},
		{http.MethodGet, apiv1.PathJob, s.operations, false, s.showJob},
		{http.MethodPost, apiv1.PathCancellations, s.operations, false, s.cancel},
	}
}

// submit validates a job and submits it.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) error {
	var f endive.Findings
	readQuery(&f, r)
	readHeaders(&f, r.Header)
	var job endive.Job
	reading, err := readJSON(w, r, apiv1.MaxJobBody, &job)
	if err != nil {
		return err
	}
	job.Defaults()
	if err := append(f, reading.MergeValidation(files.ValidateJob(job))...).Err(); err != nil {
		return err
	}
	status, err := s.Backend.Submit(r.Context(), job)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

// listJobs answers with a page of jobs.
func (s *Server) listJobs(w http.ResponseWriter, r *http.Request) error {
	var f endive.Findings
	readHeaders(&f, r.Header)
	values := readQuery(&f, r, "team", "name", "state", "after", "limit")
	query := apiv1.JobQuery{
		Team: endive.TeamName(values["team"]), Name: endive.JobName(values["name"]),
		State: apiv1.JobState(values["state"]), After: endive.JobID(values["after"]), Limit: apiv1.DefaultList,
	}
	query.Validate(&f)
	if text, ok := values["limit"]; ok {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > apiv1.MaxList {
			f.Add("query limit", "is %q; it must be 1 to %d", strict.Shorten(text), apiv1.MaxList)
		}
		query.Limit = n
	}
	if err := f.Err(); err != nil {
		return err
	}
	list, err := s.Backend.Jobs(r.Context(), query)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}

// showJob answers with the status of one job, including why it waits.
func (s *Server) showJob(w http.ResponseWriter, r *http.Request) error {
	var f endive.Findings
	readQuery(&f, r)
	readHeaders(&f, r.Header)
	id := r.PathValue("job")
	if len(id) > apiv1.MaxID {
		f.Add("path job", "is %d bytes long; at most %d are allowed", len(id), apiv1.MaxID)
	}
	if err := f.Err(); err != nil {
		return err
	}
	status, err := s.Backend.Job(r.Context(), endive.JobID(id))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

// cancel validates a cancellation and records it.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) error {
	var f endive.Findings
	readQuery(&f, r)
	readHeaders(&f, r.Header)
	var cancellation apiv1.Cancellation
	reading, err := readJSON(w, r, apiv1.MaxJobBody, &cancellation)
	if err != nil {
		return err
	}
	if err := append(f, reading.MergeValidation(cancellation.Validate())...).Err(); err != nil {
		return err
	}
	cancelled, err := s.Backend.Cancel(r.Context(), cancellation)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, cancelled)
	return nil
}
