package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// controlTimeout bounds one request to the control listener.
const controlTimeout = 5 * time.Second

// countsCommand prints the counts of running simulated services.
type countsCommand struct {
	control endive.Address
	paths   []string
}

func (c *countsCommand) configure(app *kingpin.Application) {
	counts := app.Command("counts", "Print counts of running simulated services, one value a line, such as \"services.cut.runs\".").Action(c.run)
	counts.Flag("control", "Address of the control listener.").Required().StringVar((*string)(&c.control))
	counts.Arg("path", "Path of a count; without a path, all counts are printed as JSON.").StringsVar(&c.paths)
}

func (c *countsCommand) run(*kingpin.ParseContext) error {
	body, err := c.get()
	if err != nil {
		return err
	}
	if len(c.paths) == 0 {
		fmt.Println(string(body))
		return nil
	}
	var counts any
	if err := json.Unmarshal(body, &counts); err != nil {
		return errs.New("countsCommand.run: %w", err)
	}
	for _, path := range c.paths {
		// Counts are created at the first increment, so a missing one is zero.
		value := valueAt(counts, strings.Split(path, "."))
		if value == nil {
			value = 0
		}
		fmt.Println(value)
	}
	return nil
}

func (c *countsCommand) get() ([]byte, error) {
	client := &http.Client{Timeout: controlTimeout}
	response, err := client.Get("http://" + string(c.control) + "/v1/counts?detail=true")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

// valueAt returns the value at a path in decoded JSON, or nil.
func valueAt(value any, path []string) any {
	for _, name := range path {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = object[name]
	}
	return value
}
