package costs

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// Limits of one HTTP request.
const (
	readTimeout  = 5 * time.Second
	maxReadBytes = 16 << 20
)

// Reader reads the metrics of the entries and the counts of the simulated services.
type Reader struct {
	health     []endive.Address
	control    endive.Address
	httpClient *http.Client
}

// NewReader returns a Reader that queries the entries' health listeners and the control
// listener of the simulated services. Both can be empty.
func NewReader(health []endive.Address, control endive.Address) *Reader {
	return &Reader{health: health, control: control, httpClient: &http.Client{Timeout: readTimeout}}
}

// Snapshot holds the metrics and counts read at one time.
type Snapshot struct {
	At      time.Time
	Metrics []Metrics
	Counts  *Counts
	// Missing holds the errors of failed reads.
	Missing []string
}

// Read returns a snapshot of all sources that can be read.
func (r *Reader) Read(ctx context.Context, now time.Time) Snapshot {
	snapshot := Snapshot{At: now}
	for _, address := range r.health {
		body, err := r.get(ctx, address, apiv1.PathMetrics)
		if err != nil {
			snapshot.Missing = append(snapshot.Missing, err.Error())
			continue
		}
		snapshot.Metrics = append(snapshot.Metrics, ParseMetrics(string(body)))
	}
	if r.control == "" {
		return snapshot
	}
	body, err := r.get(ctx, r.control, "/v1/counts")
	if err == nil {
		snapshot.Counts = &Counts{}
		err = json.Unmarshal(body, snapshot.Counts)
	}
	if err != nil {
		snapshot.Counts = nil
		snapshot.Missing = append(snapshot.Missing, err.Error())
	}
	return snapshot
}

// get returns the body of one page. A status other than 200 is an error.
func (r *Reader) get(ctx context.Context, address endive.Address, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+path, nil)
	if err != nil {
		return nil, errs.New("Reader.get: %w", err)
	}
	response, err := r.httpClient.Do(request)
	if err != nil {
		return nil, errs.New("Reader.get: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReadBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = errs.New("%s answered %s", address, response.Status)
	}
	return body, err
}
