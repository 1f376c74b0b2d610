package apiv1

// TaskCounts counts the tasks of a job by state.
type TaskCounts struct {
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Unknown   int `json:"unknown"`
}
