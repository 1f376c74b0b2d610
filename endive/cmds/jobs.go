package cmds

// defineJobs defines the commands about jobs.
func (p *program) defineJobs() {
	group := p.app.Command("job", "Jobs: submit, list, explain and cancel them.")
	submit := &jobSubmit{}
	clause := p.add(group, "submit", "Submit a job from a file.", jobSubmitHelp, submit)
	clause.Arg("file", `TOML or JSON file; "-" reads JSON from standard input.`).Required().SetValue(fileValue{&submit.file})
	clause.Flag("key", "Submission key, in place of the one in the file.").StringVar(&submit.key)

	list := &jobList{}
	clause = p.add(group, "list", "List jobs.", jobListHelp, list)
	clause.Flag("team", "Only jobs of this team.").StringVar(&list.team)
	clause.Flag("name", "Only jobs with this name.").StringVar(&list.name)
	clause.Flag("state", "Only jobs in this state: waiting, running, succeeded, failed, cancelling, cancelled, parked or unknown.").StringVar(&list.state)
	clause.Flag("after", "List only jobs after this job id.").StringVar(&list.after)
	clause.Flag("limit", "Maximum number of jobs.").Default("100").IntVar(&list.limit)

	explain := &jobExplain{}
	p.add(group, "explain", "Show one job, and why it is waiting.", jobExplainHelp, explain).
		Arg("job", "Id of the job.").Required().StringVar(&explain.job)

	cancel := &jobCancel{}
	clause = p.add(group, "cancel", "Cancel a job, or all jobs of a team or with a name.", jobCancelHelp, cancel)
	clause.Arg("job", "Id of the job.").StringVar(&cancel.job)
	clause.Flag("team", "Cancel all jobs of this team.").StringVar(&cancel.team)
	clause.Flag("name", "Cancel all jobs with this name.").StringVar(&cancel.name)
}
