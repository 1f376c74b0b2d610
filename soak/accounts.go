package main

import (
	"fmt"
	"strings"

	"endiveroute.example/endive/platform/stand"
)

const (
	// firstProcessors and secondProcessors are the needs of the tasks of a job's first and second
	// step, in thousandths of a processor.
	firstProcessors  = 1000
	secondProcessors = 500
	// capOverage is the share of its cap by which an account may exceed it.
	capOverage = 0.1
)

// accountNames are the client accounts of a run with caps. The name is the account's key, too.
var accountNames = []string{"a", "b"}

// accountOf returns the account that submits a job.
func accountOf(job string) string { return accountNames[int(job[len(job)-1])%len(accountNames)] }

// otherAccount returns an account that doesn't submit the job.
func otherAccount(job string) string {
	return accountNames[(int(job[len(job)-1])+1)%len(accountNames)]
}

// pools returns the names of the pools: more than one if there are caps, which the pools share.
func (c *checks) pools() []string {
	if c.accountCap == 0 {
		return []string{"svc"}
	}
	return []string{"svc", "svc2"}
}

// accounts returns the configuration of the accounts; nil without caps.
func (c *checks) accounts() []map[string]any {
	if c.accountCap == 0 {
		return nil
	}
	var accounts []map[string]any
	for _, name := range accountNames {
		accounts = append(accounts, map[string]any{"name": name, "api_keys": []string{name}, "weight": 1, "cap": map[string]int{"cpu": c.accountCap}})
	}
	return accounts
}

// checkCap records a violation if a run brings its account above the cap, the overage and one
// task more. c.mu must be held.
func (c *checks) checkCap(started stand.Run) {
	if c.accountCap == 0 {
		return
	}
	account, inUse := accountOf(jobOf(started.Task)), 0
	for task := range c.running {
		if accountOf(jobOf(task)) == account {
			inUse += processorsOf(task)
		}
	}
	c.peak = max(c.peak, inUse)
	if float64(inUse) > float64(c.accountCap)*(1+capOverage)+float64(processorsOf(started.Task)) {
		c.violations = append(c.violations, fmt.Sprintf("%s run %d on %s brings account %s to %d of %d",
			started.Task, started.Number, started.Worker, account, inUse, c.accountCap))
	}
}

// processorsOf returns the need of a task, whose id is JOB.OCCURRENCE.STEP.NUMBER.
func processorsOf(task string) int {
	if strings.Split(task, ".")[2] == "0" {
		return firstProcessors
	}
	return secondProcessors
}
