package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["4"] = playCancelBeforeLateWrite }

// cancelBound is the bound cancel_ms.
const cancelBound = 3 * time.Second

// playCancelBeforeLateWrite loses the answers to the writes of one submission, which the store performs
// 5.8 s later. The client gets no acceptance, gives up and cancels the job.
func playCancelBeforeLateWrite(s *scene) ([]string, error) {
	s.configure(3, []string{"porsiyon"}, route{"r-1", host, "/lohu930/", "porsiyon", 0})
	err := s.begin(3,
		workerSpec{"i-p1", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p2", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
	)
	if err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	path := "/lohu930/" + id
	if s.trouble {
		s.store.loseWritesOf(id, 5800*time.Millisecond)
		s.log.add("store: loses the answers to some writes, and performs these writes 5.8 s later")
	}
	others := make(chan struct{})
	go func() {
		// Other clients' work goes on, so that only a part of the writes is affected.
		for i := range 10 {
			s.request(i, "POST", host, fmt.Sprintf("/lohu930/aa0e7a21d94b%04x", i), jobOf(1, 2000, 400))
			time.Sleep(150 * time.Millisecond)
		}
		close(others)
	}()
	status, _ := s.request(0, "POST", host, path, jobOf(2, 3000, 8000))
	s.store.endLoss(s.log)
	deleted, _ := s.request(1, "DELETE", host, path, "")
	if deleted != 200 && deleted != 410 {
		return nil, fmt.Errorf("the cancel was answered %d", deleted)
	}
	if s.trouble && status == 200 {
		return nil, fmt.Errorf("the job was accepted although the answers to its writes were lost")
	}
	acknowledged := time.Now()
	<-others
	time.Sleep(12 * time.Second)
	s.request(2, "GET", host, path, "")
	var broken []string
	for _, start := range s.ledger.startsAfter(acknowledged.Add(cancelBound)) {
		if strings.HasPrefix(start.task, id) {
			broken = append(broken, fmt.Sprintf("%s was started on %s %d ms after its job's cancelling was acknowledged with %d",
				start.task, start.worker, start.at.Sub(acknowledged).Milliseconds(), deleted))
		}
	}
	return broken, nil
}
