package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"endiveroute.example/endive/platform/stand"
)

// Names of the client accounts.
const (
	// steadyAccount has no cap.
	steadyAccount = "steady"
	// hotAccount hands in more than its cap allows. Its keys and its cap change.
	hotAccount = "hot"
)

const (
	// steadyKey is the key of steadyAccount.
	steadyKey = "steady-key"
	// unknownKey is the key of no account.
	unknownKey = "unknown-key"
	// mainPool is the pool of most jobs.
	mainPool = "svc"
	// bulkPool is the second pool, so that caps are divided between two holders.
	bulkPool = "bulk"
	// workersPerBulk is how many workers of mainPool there are for each one of bulkPool.
	workersPerBulk = 4
	// overage is the share by which an account may exceed its cap.
	overage = 0.1
	// applyTime bounds the time until a new version of the configuration is in force everywhere.
	applyTime = 4 * time.Second
	// maxKeyAge is how long entries with strict keys serve keyed calls without confirming the
	// configuration.
	maxKeyAge = 3 * time.Second
	// clockTolerance covers that entries count whole milliseconds.
	clockTolerance = 50 * time.Millisecond
	// minChangePause and maxChangePause bound the time between two versions of the configuration.
	minChangePause, maxChangePause = 1 * time.Second, 4 * time.Second
	// probeInterval is the time between two calls that must not succeed.
	probeInterval = 100 * time.Millisecond
	// finalCap is the cap of hotAccount at the end, so that its jobs complete in time.
	finalCap = 160_000
)

// hotCaps are the caps of hotAccount that the changes choose from, in thousandths of a processor.
var hotCaps = []int{3000, 4000, 6000, 9000}

// otherAccount returns the account that isn't the given one.
func otherAccount(account string) string {
	if account == hotAccount {
		return steadyAccount
	}
	return hotAccount
}

// accounts changes the configuration of the client accounts and checks that keys and caps are
// respected.
type accounts struct {
	soak  *soak
	usage *stand.Usage
	rand  *rand.Rand
	// enabled is false if the configuration has no accounts, and calls no keys.
	enabled bool
	// strict is true if the entries refuse keyed calls while they can't confirm the configuration.
	// Then a withdrawn key must not be served after maxKeyAge, whatever faults there are.
	strict bool

	mu      sync.Mutex
	version int
	hotKey  string
	// withdrawn has the time from which each withdrawn key isn't in the configuration.
	withdrawn map[string]time.Time
	// refused holds the jobs that were submitted with keys that aren't valid.
	refused    map[string]bool
	probes     int
	violations []string
}

func newAccounts(s *soak, enabled bool, seed int64) *accounts {
	return &accounts{
		soak: s, usage: stand.NewUsage(overage, applyTime), rand: rand.New(rand.NewSource(seed)), enabled: enabled, strict: seed%2 != 0,
		withdrawn: make(map[string]time.Time), refused: make(map[string]bool),
	}
}

// settings returns the part of an entry's settings about keys and caps. Builds without accounts
// don't know it.
func (a *accounts) settings() string {
	if !a.enabled {
		return ""
	}
	return fmt.Sprintf("[bounds]\nquotaOverage = %g\nstrictKeys = %t\nmaxKeyAge = %q\n", overage, a.strict, maxKeyAge)
}

// change writes a version of the configuration with the given cap of hotAccount. It withdraws
// the key of hotAccount and adds a new one if newKey is true.
func (a *accounts) change(hotCap int, newKey bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	old := a.hotKey
	if newKey {
		a.hotKey = fmt.Sprintf("hot-key-%d", a.version)
	}
	config := newConfig(a.version)
	if a.enabled {
		config.Accounts = []stand.Account{
			{Name: steadyAccount, Keys: []string{steadyKey}, Weight: 10},
			{Name: hotAccount, Keys: []string{a.hotKey}, Weight: 1, Cap: stand.Amount{Processors: hotCap}},
		}
	}
	a.usage.Configure(config.Accounts, time.Now())
	err := a.soak.store.PutConfig(config)
	if newKey && old != "" {
		a.withdrawn[old] = time.Now()
	}
	return err
}

func newConfig(version int) stand.Config {
	queue := func(name, pool string, advice *stand.Advice) stand.Queue {
		return stand.Queue{
			Name: name, Host: clientHost, Prefix: "/" + name + "/", Pool: pool, MaxAttempts: 3, SlackFactor: 2, TargetLatencyMillis: 600, Advice: advice,
		}
	}
	advice := &stand.Advice{BaseMillis: 5, PerWorkerMillis: 0.5, ValidityMillis: 2000}
	return stand.Config{
		Version: version,
		Queues:  []stand.Queue{queue("quick", mainPool, nil), queue("slow", mainPool, advice), queue("bulk", bulkPool, nil)},
		Pools:   []stand.Pool{{Name: mainPool}, {Name: bulkPool}},
	}
}

// key returns the current key of an account; empty without accounts.
func (a *accounts) key(account string) string {
	if !a.enabled {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if account == hotAccount {
		return a.hotKey
	}
	return steadyKey
}

// run changes the configuration until ctx is done. At the end it raises the cap of hotAccount.
func (a *accounts) run(ctx context.Context) {
	if !a.enabled {
		return
	}
	go (&prober{accounts: a, rand: rand.New(rand.NewSource(a.rand.Int63()))}).run(ctx)
	for last := false; !last; {
		pause := minChangePause + time.Duration(a.rand.Int63n(int64(maxChangePause-minChangePause)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		last = a.changeNext(ctx)
	}
}

// changeNext writes the next version, and reports whether it is the last one, since ctx is done.
func (a *accounts) changeNext(ctx context.Context) (last bool) {
	hotCap, newKey := hotCaps[a.rand.Intn(len(hotCaps))], a.rand.Intn(2) == 0
	last = ctx.Err() != nil
	if last {
		hotCap, newKey = finalCap, false
	}
	if err := a.change(hotCap, newKey); err != nil {
		panic("soak: can't write the configuration: " + err.Error())
	}
	return last
}

// expiredKey returns a withdrawn key that must not be served any more, or a key that was never
// valid if there is none. Without strict keys, only unsettled checks withdrawn keys.
func (a *accounts) expiredKey() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, since := range a.withdrawn {
		if a.strict && time.Since(since) > maxKeyAge+clockTolerance {
			return key
		}
	}
	return unknownKey
}

// prober makes calls that must not succeed.
type prober struct {
	accounts *accounts
	rand     *rand.Rand
}

func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(probeInterval)
		p.probe()
	}
}

// probe makes one call with a withdrawn key, with an unknown one, or about a job of another
// account.
func (p *prober) probe() {
	s := p.accounts.soak
	switch p.rand.Intn(5) {
	case 0:
		p.mustFail(http.MethodGet, "/quick/", p.accounts.expiredKey(), "")
	case 1:
		p.submit(p.accounts.expiredKey())
	case 2:
		p.submit(unknownKey)
	case 3:
		if id := s.hot.anyOutstanding(); id != "" {
			p.mustFail(http.MethodGet, "/quick/"+id, steadyKey, "")
		}
	case 4:
		if id := s.clients.anyOutstanding(); id != "" {
			p.mustFail(http.MethodDelete, "/quick/"+id, p.accounts.key(hotAccount), "")
		}
	}
}

// submit submits a job with a key that isn't valid, so that the job must never run.
func (p *prober) submit(key string) {
	id := fmt.Sprintf("%016x", p.rand.Uint64())
	body, err := newJob(p.rand, 1).RequestBody()
	if err != nil {
		panic("soak: can't encode a job: " + err.Error())
	}
	p.accounts.mu.Lock()
	p.accounts.refused[id] = true
	p.accounts.mu.Unlock()
	p.mustFail(http.MethodPost, "/quick/"+id, key, body)
}

// mustFail makes a call at a random entry and records a violation if it succeeds.
func (p *prober) mustFail(method, path, key, body string) {
	s := p.accounts.soak
	e := s.entries[p.rand.Intn(len(s.entries))]
	sentAt := time.Now()
	status := s.clients.sendTo(e, method, path, key, body, nil)
	p.accounts.mu.Lock()
	defer p.accounts.mu.Unlock()
	p.accounts.probes++
	if status == http.StatusOK {
		p.accounts.violations = append(p.accounts.violations, fmt.Sprintf("%s: %s %s with the key %s, sent at %s, succeeded",
			e.name, method, path, key, sentAt.Format(time.StampMilli)))
	}
}

// unsettled describes the entries that refuse a current key or accept a withdrawn one, without
// faults.
func (a *accounts) unsettled() []string {
	if !a.enabled {
		return nil
	}
	a.mu.Lock()
	keys := map[string]int{steadyKey: http.StatusOK, a.hotKey: http.StatusOK, unknownKey: http.StatusUnauthorized}
	for key := range a.withdrawn {
		keys[key] = http.StatusUnauthorized
	}
	a.mu.Unlock()
	var unsettled []string
	for _, e := range a.soak.entries {
		for key, want := range keys {
			if status := a.soak.clients.sendTo(e, http.MethodGet, "/quick/", key, "", nil); status != want {
				unsettled = append(unsettled, fmt.Sprintf("%s answers %d to the key %s, want %d", e.name, status, key, want))
			}
		}
	}
	return unsettled
}

// findings returns the violations of keys and caps.
func (a *accounts) findings() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append(a.usage.Violations(), a.violations...)
}

// summary describes what the accounts did.
func (a *accounts) summary() string {
	if !a.enabled {
		return "no accounts"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	hot := a.soak.hot
	return fmt.Sprintf("accounts: %d versions, %d withdrawn keys, strict %t, %d calls that must fail; %s: %d submitted, %d accepted, %d refused, %d unknown",
		a.version, len(a.withdrawn), a.strict, a.probes, hotAccount, hot.submitted, hot.accepted, hot.refused, hot.unknown)
}
