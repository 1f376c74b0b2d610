package gauge_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	tally "github.com/uber-go/tally/v4"

	"endiveroute.example/endive/entry/gauge"
)

func TestPage(t *testing.T) {
	is := is.New(t)
	page := gauge.New()
	scope, closeScope := page.NewScope(time.Hour)
	tagged := scope.SubScope("peers").Tagged(map[string]string{"peer": "entry-2", "kind": `a"b`})
	tagged.Counter("sent").Inc(3)
	tagged.Counter("sent").Inc(4)
	scope.Gauge("waiting").Update(2)
	scope.Gauge("waiting").Update(1.5)
	scope.Timer("read").Record(500 * time.Millisecond)
	scope.Timer("read").Record(time.Second)
	waiting := scope.Histogram("wait", tally.DurationBuckets{time.Millisecond, time.Second})
	waiting.RecordDuration(time.Microsecond)
	waiting.RecordDuration(time.Millisecond)
	waiting.RecordDuration(time.Minute)
	tagged.Histogram("size", tally.ValueBuckets{10}).RecordValue(7)
	is.NoErr(closeScope())
	w := httptest.NewRecorder()
	page.ServeHTTP(w, nil)
	lines, process, _ := strings.Cut(w.Body.String(), "processMicroseconds ")
	var micros, memory int64
	_, err := fmt.Sscanf(process, "%d\nprocessMemoryBytes %d", &micros, &memory)
	is.NoErr(err)
	is.True(micros > 0 && memory > 0)
	is.Equal(lines, `peers_sent{kind="a\"b",peer="entry-2"} 7
peers_size_bucket{kind="a\"b",peer="entry-2",le="10"} 1
peers_size_bucket{kind="a\"b",peer="entry-2",le="+Inf"} 1
peers_size_count{kind="a\"b",peer="entry-2"} 1
read_count 2
read_sum 1.5
wait_bucket{le="0.001"} 2
wait_bucket{le="1"} 2
wait_bucket{le="+Inf"} 3
wait_count 3
waiting 1.5
`)
}

func TestReplacedValuesDisappear(t *testing.T) {
	is := is.New(t)
	page := gauge.New()
	value := func(account string, value float64) gauge.Value {
		return gauge.Value{Name: "used", Tags: map[string]string{"account": account}, Value: value}
	}
	page.Replace("pool-1", []gauge.Value{value("a", 1), value("b", 2)})
	page.Replace("pool-2", []gauge.Value{value("c", 0)})
	is.Equal(page.String(), "used{account=\"a\"} 1\nused{account=\"b\"} 2\nused{account=\"c\"} 0\n")
	page.Replace("pool-1", []gauge.Value{value("d", 3)})
	is.Equal(page.String(), "used{account=\"c\"} 0\nused{account=\"d\"} 3\n")
	page.Replace("pool-2", nil)
	page.Replace("pool-1", nil)
	is.Equal(page.String(), "")
}
