package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Entry is a process of the system, with the settings that the platform makes from deploy/cell.toml.
type Entry struct {
	name    string
	program string
	dir     string
	front   string
	ready   string
	file    string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// The range of ports for listeners lies below the one that systems use for connections.
const (
	firstPort = 20000
	portCount = 10000
)

// ports are those that were given out, which need not be bound yet.
var ports struct {
	sync.Mutex
	used map[int]bool
}

// freeAddress returns a loopback address with a port that is free now and is given out once.
func freeAddress() string {
	ports.Lock()
	defer ports.Unlock()
	if ports.used == nil {
		ports.used = make(map[int]bool)
	}
	for {
		port := firstPort + rand.IntN(portCount)
		address := "127.0.0.1:" + strconv.Itoa(port)
		if ports.used[port] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err == nil {
			listener.Close()
			ports.used[port] = true
			return address
		}
	}
}

// newEntry writes the settings of an entry.
func newEntry(program, dir, name, zone, region, store string) (*Entry, error) {
	e := &Entry{name: name, program: program, dir: dir, front: freeAddress(), ready: freeAddress(), file: filepath.Join(dir, name+".toml")}
	settings := fmt.Sprintf(`name = %q
region = %q
zone = %q

[listen]
callers = %q
health = %q
peers = %q
metrics = %q

[platform]
store = %q
advice = ""
cloud = ""

[bounds]
maxGrant = "6000ms"
stopGrace = "6s"
retention = "120s"
maxListAge = "4000ms"
heartbeat = "1500ms"

[limits]
cores = 0.4
descriptors = 4100
`, name, region, zone, e.front, e.ready, freeAddress(), freeAddress(), store)
	return e, os.WriteFile(e.file, []byte(settings), 0o600)
}

// start starts the process.
func (e *Entry) start() error {
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command(e.program, "--cell", e.file)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), e.cmd
	e.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (e *Entry) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (e *Entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.ended
}

// running reports whether the process hasn't ended.
func (e *Entry) running() bool {
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// isReady reports whether the entry takes clients.
func (e *Entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logHas reports whether the log of the entry has a line with all of the given texts.
func (e *Entry) logHas(texts ...string) bool {
	data, err := os.ReadFile(filepath.Join(e.dir, e.name+".log"))
	if err != nil {
		return false
	}
	for _, line := range strings.Split(string(data), "\n") {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return true
		}
	}
	return false
}

// Answer is what a client got; status 0 for no answer.
type Answer struct {
	status int
	body   string
}

// Client calls the system's front addresses, as the platform's balancer forwards it.
type Client struct {
	host    string
	entries []*Entry
	http    http.Client
	mu      sync.Mutex
	next    int
}

// call sends one request to the next entry. deadline is the client's.
func (c *Client) call(method, path string, body any, deadline time.Duration) (Answer, string) {
	c.mu.Lock()
	entry := c.entries[c.next%len(c.entries)]
	c.next++
	c.mu.Unlock()
	return c.callAt(entry, method, path, body, deadline), entry.name
}

func (c *Client) callAt(entry *Entry, method, path string, body any, deadline time.Duration) Answer {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+entry.front+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = c.host
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := c.http
	client.Timeout = deadline
	resp, err := client.Do(request)
	if err != nil {
		return Answer{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}
	}
	return Answer{status: resp.StatusCode, body: strings.TrimSpace(string(data))}
}

// submit hands a job in, and again at other entries while the answer isn't final.
func (c *Client) submit(path string, job any) Answer {
	var answer Answer
	for range 5 {
		answer, _ = c.call(http.MethodPost, path, job, 3*time.Second)
		if answer.status == http.StatusOK {
			return answer
		}
		time.Sleep(300 * time.Millisecond)
	}
	return answer
}

// state asks for a job's state, at other entries too if there is no answer; empty if there is none.
func (c *Client) state(path string) string {
	for range 4 {
		answer, _ := c.call(http.MethodGet, path, nil, 3*time.Second)
		switch answer.status {
		case http.StatusOK:
			var decoded struct {
				State string `json:"state"`
			}
			if json.Unmarshal([]byte(answer.body), &decoded) == nil {
				return decoded.State
			}
		case http.StatusGone:
			return "410"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}
