package apiv1

import "endiveroute.example/endive"

// Names of the metrics about client accounts, each with the tags below.
const (
	MetricAccountRunning = "accountRunning"
	MetricAccountWaiting = "accountWaiting"
	MetricAccountPart    = "accountPart"
	MetricAccountCap     = "accountCap"
)

// Tags of the metrics about client accounts.
const (
	TagAccount  = "account"
	TagPool     = "pool"
	TagResource = "resource"
)

// Values of TagResource. Processors are whole processors, memory is in bytes.
const (
	ResourceProcessors   = "processors"
	ResourceMemory       = "memory"
	ResourceAccelerators = "accelerators"
)

// OtherAccounts is the value of TagAccount for the sum of the accounts that use less than
// those that are reported separately.
const OtherAccounts endive.AccountName = "(others)"

// Account is what a client account uses in a pool, as the pool's holder has it.
type Account struct {
	Name endive.AccountName `json:"name"`
	Pool endive.PoolName    `json:"pool"`
	// Running is what the account's runs use. Waiting is what its tasks need that could start
	// now, but for the account's cap or for tickets.
	Running endive.Resources `json:"running"`
	Waiting endive.Resources `json:"waiting"`
	// Part is what the account may use in the pool, of its Cap over all pools. A dimension whose
	// Cap is 0 is unlimited.
	Part endive.Resources `json:"part"`
	Cap  endive.Resources `json:"cap"`
}

// AccountList is what the client accounts use in all pools.
type AccountList struct {
	Accounts []Account `json:"accounts"`
}
