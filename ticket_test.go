package endive

import (
	"testing"

	"github.com/matryer/is"
)

func TestTicketValidate(t *testing.T) {
	tests := []struct {
		name   string
		ticket Ticket
		want   []string
	}{
		{
			name:   "empty",
			ticket: Ticket{},
			want: []string{
				"number: is missing; tickets are numbered from 1",
				"ticket: contains no services, pools, teams or drains",
			},
		},
		{
			name: "all findings together",
			ticket: Ticket{
				Number:   1,
				Services: Services{{Name: "Quote", Slots: 8, Connections: 4, Timeout: 1, MaxAnswer: 1}},
				Teams:    Teams{{Name: "cutters"}, {Name: "cutters", Quota: Resources{Memory: -1}}},
			},
			want: []string{
				`services[0].name: "Quote" must be lower-case letters, digits, dots and dashes, with a letter or digit at both ends`,
				"services[0].connections: is 4, less than the 8 slots",
				"teams[1].quota.memory: is negative",
				"teams[1]: teams/cutters is already defined at teams[0]",
			},
		},
		{
			name:   "valid",
			ticket: Ticket{Number: 7, Pools: Pools{{Name: "quoting"}}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, f := range tt.ticket.Validate() {
				got = append(got, f.String())
			}
			is.Equal(got, tt.want)
		})
	}
}
