package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/fault"
)

// faultCommand switches a fault of running simulated services on or off, or lists
// the faults that are on.
type faultCommand struct {
	control endive.Address
	kind    string
	part    string
	region  string
	off     bool
	fault   fault.Fault
}

func (c *faultCommand) configure(app *kingpin.Application) {
	run := app.Command("fault", "Switch a fault of running simulated services on or off, and print the faults that are on; docs/PLATFORM.md lists the faults.").Action(c.run)
	run.Flag("control", "Address of the control listener.").Required().StringVar((*string)(&c.control))
	run.Flag("part", "Part that the fault affects: table, objects, instances, worker or executor; by default all.").StringVar(&c.part)
	run.Flag("instance", "Worker or executor that the fault affects; by default all.").StringVar(&c.fault.Instance)
	run.Flag("region", "Region that the fault affects; by default all.").StringVar(&c.region)
	run.Flag("delay", "Delay, for the faults that need one.").SetValue((*intervalValue)(&c.fault.Delay))
	run.Flag("count", "Number of requests that the fault affects; by default all.").IntVar(&c.fault.Count)
	run.Flag("off", "Switch the fault off.").BoolVar(&c.off)
	run.Arg("fault", `The fault, such as "silent"; without it, the command only lists the faults.`).StringVar(&c.kind)
}

func (c *faultCommand) run(*kingpin.ParseContext) error {
	request, err := c.request()
	if err != nil {
		return errs.New("faultCommand.run: %w", err)
	}
	response, err := (&http.Client{Timeout: controlTimeout}).Do(request)
	if err != nil {
		return errs.New("faultCommand.run: %w", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return errs.New("faultCommand.run: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return errs.New("control listener rejected the request:\n%s", body)
	}
	fmt.Print(string(body))
	return nil
}

func (c *faultCommand) request() (*http.Request, error) {
	url := "http://" + string(c.control) + "/v1/faults"
	if c.kind == "" {
		return http.NewRequest(http.MethodGet, url, nil)
	}
	c.fault.Kind = fault.Kind(c.kind)
	c.fault.Part = fault.Part(c.part)
	c.fault.Region = endive.Region(c.region)
	body, err := json.Marshal(fault.Switch{Fault: c.fault, On: !c.off})
	if err != nil {
		return nil, err
	}
	return http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
}
