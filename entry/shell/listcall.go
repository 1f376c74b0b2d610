package shell

import (
	"context"
	"time"

	"endiveroute.example/endive/member"
)

// listCall reads the platform's instance list.
type listCall struct {
	shell *Shell
}

func (l *listCall) run() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(l.shell.settings.Timings.TableTimeout))
	defer cancel()
	instances, err := l.shell.instances.List(ctx)
	l.shell.member.send(member.InstancesListed{Instances: instances, Unavailable: err != nil})
}
