package blobs

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"

	"endiveroute.example/endive/stand/serve"
)

// pathPrefix is the prefix of the path of each object.
const pathPrefix = "/v1/objects/"

// Store stores objects. It rejects writes that would change an existing object. It
// is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	counts  Counts
}

// Counts are the numbers of stored objects and of requests.
type Counts struct {
	Objects int `json:"objects"`
	Puts    int `json:"puts"`
	Gets    int `json:"gets"`
}

// New returns an empty store.
func New() *Store { return &Store{objects: make(map[string][]byte)} }

// Counts returns a copy of the counts.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Objects = len(s.objects)
	return counts
}

// Handle implements serve.Handler.
func (s *Store) Handle(_ context.Context, r serve.Request) serve.Answer {
	name, ok := strings.CutPrefix(r.Path, pathPrefix)
	if !ok || name == "" {
		return serve.Text(http.StatusNotFound, "no such path: "+r.Path)
	}
	switch r.Method {
	case http.MethodPut:
		return s.put(name, r.Body)
	case http.MethodGet:
		return s.get(name)
	}
	return serve.Text(http.StatusMethodNotAllowed, "GET and PUT only")
}

func (s *Store) put(name string, body []byte) serve.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Puts++
	if old, ok := s.objects[name]; ok && !bytes.Equal(old, body) {
		return serve.Text(http.StatusConflict, name+" exists with different content")
	}
	s.objects[name] = body
	return serve.Answer{Status: http.StatusOK}
}

func (s *Store) get(name string) serve.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Gets++
	body, ok := s.objects[name]
	if !ok {
		return serve.Text(http.StatusNotFound, "no object "+name)
	}
	return serve.Answer{Status: http.StatusOK, Body: body}
}
