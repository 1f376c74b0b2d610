package endive_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

func digest(t *testing.T, key string) endive.KeyDigest {
	t.Helper()
	d, ok := endive.NewKeyDigest(key)
	if !ok {
		t.Fatalf("no digest of %q", key)
	}
	return d
}

func TestAccountsWithKey(t *testing.T) {
	accounts, findings := endive.NewAccounts([]endive.Account{
		{Name: "a", Keys: []endive.KeyDigest{digest(t, "key-a"), digest(t, "key-a2"), digest(t, "both")}},
		{Name: "b", Keys: []endive.KeyDigest{digest(t, "both"), digest(t, "key-b")}, Weight: 2},
		{Name: "", Keys: []endive.KeyDigest{digest(t, "key-nameless")}},
		{Name: "a", Keys: []endive.KeyDigest{digest(t, "key-second-a")}},
		{Name: "c", Keys: []endive.KeyDigest{digest(t, "key-c")}, Cap: endive.Resources{Processors: -1}},
		{Name: "d", Keys: []endive.KeyDigest{digest(t, "key-d"), digest(t, "key-d")}},
	})
	tests := []struct {
		key, want string
	}{
		{"key-a", "a"},
		{"key-a2", "a"},
		{"key-b", "b"},
		{"key-d", "d"},
		{"both", ""}, // serves neither of two accounts
		{"key-nameless", ""},
		{"key-second-a", ""},
		{"key-c", ""},
		{"key", ""},
		{"", ""},
		{strings.Repeat("x", 10_000), ""},
	}
	for _, tt := range tests {
		t.Run(tt.key[:min(len(tt.key), 20)], func(t *testing.T) {
			is := is.New(t)
			account, ok := accounts.WithKey(tt.key)
			is.Equal(string(account.Name), tt.want)
			is.Equal(ok, tt.want != "")
		})
	}
	is := is.New(t)
	is.True(accounts.Required())
	is.True(!endive.Accounts{}.Required())
	is.Equal(len(findings), 4) // the shared key, no name, a name twice, a negative cap
	is.True(!strings.Contains(findings.Error(), "key-"))
}

func TestAccountsSurviveEncoding(t *testing.T) {
	is := is.New(t)
	accounts, _ := endive.NewAccounts([]endive.Account{{Name: "a", Keys: []endive.KeyDigest{digest(t, "key-a")}, Weight: 3, Cap: endive.Resources{Processors: 7}}})
	encoded, err := json.Marshal(accounts)
	is.NoErr(err)
	is.True(!strings.Contains(string(encoded), "key-a")) // only digests leave the process
	var decoded endive.Accounts
	is.NoErr(json.Unmarshal(encoded, &decoded))
	account, ok := decoded.WithKey("key-a")
	is.True(ok)
	is.Equal(account.Cap.Processors, endive.MilliProcessors(7))
	is.True(json.Unmarshal([]byte(`{"required":true,"accounts":[{"name":"a","keys":["zz"]}]}`), &decoded) != nil)
}

// A key that is checked for each call must cost nothing that can be used to load an entry.
func TestWithKeyDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	accounts, _ := endive.NewAccounts([]endive.Account{{Name: "a", Keys: []endive.KeyDigest{digest(t, "key-a")}}})
	is.Equal(testing.AllocsPerRun(100, func() {
		accounts.WithKey("key-a")
		accounts.WithKey("another key")
	}), 0.0)
}

func TestCallerMayAccess(t *testing.T) {
	tests := []struct {
		caller, owner endive.AccountName
		want          bool
	}{
		{"a", "a", true},
		{"a", "b", false},
		{"a", "", true}, // a workflow without an account
		{"", "a", true}, // only public queues have callers without a key
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s of %s", tt.caller, tt.owner), func(t *testing.T) {
			is := is.New(t)
			is.Equal(endive.Caller{Account: tt.caller}.MayAccess(tt.owner), tt.want)
		})
	}
}

func BenchmarkWithKey(b *testing.B) {
	var list []endive.Account
	for i := range 400 {
		d, _ := endive.NewKeyDigest(fmt.Sprintf("9m68k7b2ex5wa5xw%04d", i))
		list = append(list, endive.Account{Name: endive.AccountName(fmt.Sprintf("account-%d", i)), Keys: []endive.KeyDigest{d}})
	}
	accounts, _ := endive.NewAccounts(list)
	b.ReportAllocs()
	for b.Loop() {
		accounts.WithKey("9m68k7b2ex5wa5xw0123")
	}
}
