package client

import (
	"context"
	"math"
	"sort"
	"strconv"
	"strings"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// AllAccounts queries the metrics of all entries of the client for what the client accounts use.
// Only the holder of a pool has them, so each pool is in the metrics of one entry, or for a
// moment of two while it changes hands. If some entries don't answer, the list is returned
// together with an error that names them.
func (c *Client) AllAccounts(ctx context.Context) (apiv1.AccountList, error) {
	merged := make(accountsByPool)
	err := c.getFromAll(ctx, apiv1.PathMetrics, func(body []byte) error {
		for line := range strings.Lines(string(body)) {
			if one, ok := parseMetric(strings.TrimSpace(line)); ok {
				merged.apply(one)
			}
		}
		return nil
	})
	return merged.list(), err
}

// metric is a line of a page of metrics.
type metric struct {
	name  string
	tags  map[string]string
	value float64
}

// parseMetric parses a line with tags. ok is false if it has none or is malformed.
func parseMetric(line string) (m metric, ok bool) {
	m.tags = make(map[string]string)
	name, rest, ok := strings.Cut(line, "{")
	if !ok {
		return metric{}, false
	}
	m.name = name
	for {
		key, quoted, found := strings.Cut(rest, "=")
		text, err := strconv.QuotedPrefix(quoted)
		if !found || err != nil {
			return metric{}, false
		}
		if m.tags[key], err = strconv.Unquote(text); err != nil {
			return metric{}, false
		}
		rest = quoted[len(text):]
		if after, more := strings.CutPrefix(rest, ","); more {
			rest = after
			continue
		}
		break
	}
	text, ok := strings.CutPrefix(rest, "} ")
	value, err := strconv.ParseFloat(text, 64)
	m.value = value
	return m, ok && err == nil
}

// accountsByPool are accounts by their names and pools.
type accountsByPool map[accountKey]*apiv1.Account

// accountKey identifies an account in a pool.
type accountKey struct {
	account endive.AccountName
	pool    endive.PoolName
}

// apply sets the amount that a metric is about, if it is about an account.
func (a accountsByPool) apply(m metric) {
	key := accountKey{endive.AccountName(m.tags[apiv1.TagAccount]), endive.PoolName(m.tags[apiv1.TagPool])}
	one := a[key]
	if one == nil {
		one = &apiv1.Account{Name: key.account, Pool: key.pool}
	}
	var amount *endive.Resources
	switch m.name {
	case apiv1.MetricAccountRunning:
		amount = &one.Running
	case apiv1.MetricAccountWaiting:
		amount = &one.Waiting
	case apiv1.MetricAccountPart:
		amount = &one.Part
	case apiv1.MetricAccountCap:
		amount = &one.Cap
	default:
		return
	}
	a[key] = one
	switch m.tags[apiv1.TagResource] {
	case apiv1.ResourceProcessors:
		amount.Processors = endive.MilliProcessors(math.Round(m.value * 1000))
	case apiv1.ResourceMemory:
		amount.Memory = endive.Bytes(m.value)
	case apiv1.ResourceAccelerators:
		amount.Accelerators = endive.Accelerators(m.value)
	}
}

// list returns the accounts sorted by pool, and in each pool by what they run, the largest first.
func (a accountsByPool) list() apiv1.AccountList {
	list := apiv1.AccountList{Accounts: make([]apiv1.Account, 0, len(a))}
	for _, one := range a {
		list.Accounts = append(list.Accounts, *one)
	}
	sort.Slice(list.Accounts, func(i, j int) bool {
		x, y := list.Accounts[i], list.Accounts[j]
		if x.Pool != y.Pool {
			return x.Pool < y.Pool
		}
		if x.Running.Processors != y.Running.Processors {
			return x.Running.Processors > y.Running.Processors
		}
		return x.Name < y.Name
	})
	return list
}
