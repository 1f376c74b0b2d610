package cmds

// defineRequests defines the commands about requests to services.
func (p *program) defineRequests() {
	ask := &ask{}
	clause := p.add(p.app, askCommandName, "Send a request to a service, and write its answer.", askHelp, ask)
	clause.Arg("service", "Name of the service.").Required().StringVar(&ask.service)
	clause.Arg("body", "Body of the request, unless --file is given.").StringVar(&ask.body)
	clause.Flag("file", `Read the body from a file; "-" is standard input.`).SetValue(fileValue{&ask.file})
	clause.Flag("key", "Idempotency key: requests with the same key count as one request.").StringVar(&ask.key)
	clause.Flag("non-idempotent", "Run it at most once; needs --key.").BoolVar(&ask.nonIdempotent)

	outcome := &outcome{}
	clause = p.add(p.app, "outcome", "Show the outcome of a request with a key.", outcomeHelp, outcome)
	clause.Arg("service", "Name of the service.").Required().StringVar(&outcome.service)
	clause.Arg("key", "The request's idempotency key.").Required().StringVar(&outcome.key)
}
