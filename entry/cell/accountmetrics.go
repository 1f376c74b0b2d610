package cell

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/entry/gauge"
	"endiveroute.example/endive/flow"
)

// recordAccounts replaces the metrics about the accounts in a pool, which the pool's holder
// reports. An empty report removes them.
func (c *Counters) recordAccounts(pool endive.PoolName, report flow.AccountsUsed) {
	var values []gauge.Value
	for _, usage := range report.Accounts {
		values = append(values, accountValues(pool, usage)...)
	}
	if others := report.Others; others != (flow.AccountUsage{}) {
		others.Account = apiv1.OtherAccounts
		values = append(values, accountValues(pool, others)...)
	}
	c.page.Replace(string(pool), values)
}

// accountValues returns the metrics about what one account uses in a pool.
func accountValues(pool endive.PoolName, usage flow.AccountUsage) []gauge.Value {
	values := resourceValues(apiv1.MetricAccountRunning, pool, usage.Account, usage.Running)
	values = append(values, resourceValues(apiv1.MetricAccountWaiting, pool, usage.Account, usage.Waiting)...)
	values = append(values, resourceValues(apiv1.MetricAccountPart, pool, usage.Account, usage.Limit)...)
	return append(values, resourceValues(apiv1.MetricAccountCap, pool, usage.Account, usage.Cap)...)
}

// resourceValues returns a metric with a value for each dimension.
func resourceValues(name string, pool endive.PoolName, account endive.AccountName, amount endive.Resources) []gauge.Value {
	value := func(resource string, value float64) gauge.Value {
		tags := map[string]string{apiv1.TagAccount: string(account), apiv1.TagPool: string(pool), apiv1.TagResource: resource}
		return gauge.Value{Name: name, Tags: tags, Value: value}
	}
	return []gauge.Value{
		value(apiv1.ResourceProcessors, float64(amount.Processors)/1000),
		value(apiv1.ResourceMemory, float64(amount.Memory)),
		value(apiv1.ResourceAccelerators, float64(amount.Accelerators)),
	}
}
