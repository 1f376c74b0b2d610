package endive

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
)

// Account is the configuration of a client account, in whose name clients submit jobs.
type Account struct {
	Name AccountName `json:"name"`
	// Keys are the digests of the keys that authenticate the account's calls.
	Keys []KeyDigest `json:"keys"`
	// Weight is the number of jobs a second that the account may expect to be served when
	// the pools are full.
	Weight float64 `json:"weight"`
	// Cap limits the resources that the account's runs use together, over all pools. A
	// dimension of 0 is unlimited.
	Cap Resources `json:"cap"`
}

// Limits of an Account.
const (
	// MaxAccountName is the maximum length of an account's name, in bytes.
	MaxAccountName = 200
	// MaxAccountKey is the maximum length of a key, in bytes.
	MaxAccountKey = 256
)

// HasCap reports whether the cap limits any dimension.
func (a Account) HasCap() bool { return a.Cap != (Resources{}) }

// Tolerated returns the cap with an overage, which is a share of the cap.
func (a Account) Tolerated(overage float64) Resources { return a.Cap.Scale(1 + overage) }

// Validate adds a finding for each invalid field of the account, prefixed with path.
func (a Account) Validate(f *Findings, path string) {
	if a.Name == "" || len(a.Name) > MaxAccountName {
		f.Add(path+".name", "is %d bytes long; it must have 1 to %d bytes", len(a.Name), MaxAccountName)
	}
	if a.Weight < 0 {
		f.Add(path+".weight", "is %g; it must not be negative", a.Weight)
	}
	a.Cap.validate(f, path+".cap")
}

// KeyDigest is the SHA-256 digest of an account's key. Only digests are kept, so that no key
// can appear in a log, a message or a stored row.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of a key. ok is false if the key is empty or longer than
// MaxAccountKey.
func NewKeyDigest(key string) (digest KeyDigest, ok bool) {
	if key == "" || len(key) > MaxAccountKey {
		return KeyDigest{}, false
	}
	return sha256.Sum256([]byte(key)), true
}

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("KeyDigest.UnmarshalText: %d characters, want %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("KeyDigest.UnmarshalText: %w", err)
	}
	return nil
}

// Accounts are the client accounts of a configuration. The zero value has no accounts and
// requires no keys. Accounts are immutable, so that several goroutines can share them.
type Accounts struct {
	required bool
	accounts []Account
	byKey    map[KeyDigest]int
	byName   map[AccountName]int
}

// NewAccounts returns the valid accounts of a list, and a finding for each invalid one. It
// leaves out invalid accounts, and those whose name an earlier one has, so that one mistake
// doesn't lock out everybody. A key of several accounts serves none of them: any choice could
// give one client's jobs to another.
func NewAccounts(list []Account) (Accounts, Findings) {
	a := Accounts{required: true, byKey: make(map[KeyDigest]int), byName: make(map[AccountName]int)}
	var findings Findings
	for i, account := range list {
		path := fmt.Sprintf("accounts[%d]", i)
		var invalid Findings
		account.Validate(&invalid, path)
		if _, ok := a.byName[account.Name]; ok {
			invalid.Add(path+".name", "%q is the name of an earlier account", account.Name)
		}
		if len(invalid) > 0 {
			findings = append(findings, invalid...)
			continue
		}
		a.byName[account.Name] = len(a.accounts)
		a.accounts = append(a.accounts, account)
	}
	a.indexKeys(&findings)
	return a, findings
}

// sharedKey marks a key of several accounts in the index.
const sharedKey = -1

func (a Accounts) indexKeys(findings *Findings) {
	for i, account := range a.accounts {
		for _, key := range account.Keys {
			other, ok := a.byKey[key]
			if !ok || other == i {
				a.byKey[key] = i
				continue
			}
			a.byKey[key] = sharedKey
			findings.Add("account "+string(account.Name), "shares a key with another account; the key is not accepted")
		}
	}
}

// Required reports whether calls on queues that aren't public need a key.
func (a Accounts) Required() bool { return a.required }

// All returns the accounts in the order of the configuration. Callers must not change it.
func (a Accounts) All() []Account { return a.accounts }

// HaveCap reports whether any of the accounts has a cap.
func (a Accounts) HaveCap() bool { return slices.ContainsFunc(a.accounts, Account.HasCap) }

// WithKey returns the account that a key belongs to.
func (a Accounts) WithKey(key string) (Account, bool) {
	digest, ok := NewKeyDigest(key)
	if !ok {
		return Account{}, false
	}
	i, ok := a.byKey[digest]
	if !ok || i == sharedKey {
		return Account{}, false
	}
	return a.accounts[i], true
}

// Named returns the account with a name.
func (a Accounts) Named(name AccountName) (Account, bool) {
	i, ok := a.byName[name]
	if !ok {
		return Account{}, false
	}
	return a.accounts[i], true
}

// accountsJSON is the encoding of Accounts.
type accountsJSON struct {
	Required bool      `json:"required"`
	Accounts []Account `json:"accounts,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (a Accounts) MarshalJSON() ([]byte, error) {
	return json.Marshal(accountsJSON{Required: a.required, Accounts: a.accounts})
}

// UnmarshalJSON implements json.Unmarshaler.
func (a *Accounts) UnmarshalJSON(data []byte) error {
	var decoded accountsJSON
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("Accounts.UnmarshalJSON: %w", err)
	}
	*a = Accounts{}
	if decoded.Required {
		*a, _ = NewAccounts(decoded.Accounts)
	}
	return nil
}

// Caller identifies who makes a call. The zero value is a caller without a key.
type Caller struct{ Account AccountName }

// MayAccess reports whether the caller may read and cancel the jobs of an account. A caller
// without a key reaches only public queues, whose jobs are open to all who know their ids.
func (c Caller) MayAccess(owner AccountName) bool {
	return c.Account == "" || owner == "" || c.Account == owner
}
