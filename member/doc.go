// Package member maintains one entry's view of the other entries and of the endpoints: which
// of them are live, suspect, leaving or gone.
//
// The view has two sources. The platform's instance list is complete but lags. The heartbeats
// of the other entries are fast but cover only entries. A notice that an endpoint is leaving
// takes effect as soon as either source reports it, and is forwarded with the next heartbeats.
package member
