package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// entryProcess is a process of the product, started with the command of the deploy file.
type entryProcess struct {
	name, callers, health string
	command               *exec.Cmd
	settings, program     string
	output                *os.File
}

// The ports of the processes lie below those that the kernel gives to outgoing connections, which may
// take a port while nothing listens there.
const (
	firstPort = 20000
	portCount = 12000
)

// listenFree listens on a port on which nothing listened.
func listenFree() (net.Listener, error) {
	var last error
	for range 200 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			return l, nil
		}
		last = err
	}
	return nil, last
}

// freePorts returns addresses on which nothing listens.
func freePorts(count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := listenFree()
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// settingsFile is deploy/cell.toml, filled in with the figures of sites/tarifci-endive.toml.
const settingsFile = `name = %q
region = "marmara"
zone = "marmara-a"

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
`

func newEntry(program, folder, name, storeAddress string) (*entryProcess, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name+".toml")
	text := fmt.Sprintf(settingsFile, name, ports[0], ports[1], ports[2], ports[3], storeAddress)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	return &entryProcess{name: name, callers: ports[0], health: ports[1], settings: path, program: program, output: output}, nil
}

func (e *entryProcess) start() error {
	e.command = exec.Command(e.program, "--cell", e.settings)
	e.command.Stdout, e.command.Stderr = e.output, e.output
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return e.command.Start()
}

func (e *entryProcess) kill() {
	if e.command != nil && e.command.Process != nil {
		_ = e.command.Process.Kill()
		_ = e.command.Wait()
		e.command = nil
	}
}

func (e *entryProcess) ready() bool {
	status, _, err := call(http.MethodGet, "http://"+e.health+"/-/ready", "", "", time.Second)
	return err == nil && status == http.StatusOK
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one request and returns the status and the body of its answer.
func call(method, url, host, body string, timeout time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	request.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(data)), err
}
