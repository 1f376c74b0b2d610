package ticket

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/wire"
)

// testMachine is one machine whose events the test creates itself.
type testMachine struct {
	*Machine
	clock *fakes.Clock
	// revision is the newest confirmed revision of the published configuration.
	revision endive.Revision
	writes   int
}

func newTestMachine() *testMachine {
	m := &testMachine{Machine: New(Settings{}, "a", "run-1"), clock: fakes.NewClock()}
	m.step(endive.Wake{})
	return m
}

func (m *testMachine) step(event endive.Event) {
	for _, action := range m.Step(m.clock.Now(), event) {
		switch a := action.(type) {
		case endive.PublishConfig:
			m.revision = a.Config.Revision
		case endive.Commit:
			m.writes++
		}
	}
}

// answerScan sends the machine the result of the scan in flight for a prefix.
func (m *testMachine) answerScan(prefix string, after, revision endive.Revision, rows ...endive.Row) {
	m.step(endive.Scanned{Prefix: prefix, After: after, Changes: endive.Changes{Rows: rows, Revision: revision}})
}

func teamRow(revision endive.Revision) endive.Row {
	value := encodeConfigured(endive.ConfiguredResource{Ticket: endive.TicketNumber(revision), Team: &endive.Team{Name: "cutters"}})
	return endive.Row{Key: "config/teams/cutters", Version: endive.Version(revision), Revision: revision, Value: value}
}

func (m *testMachine) applyWrite() {
	m.step(endive.Committed{
		WriteID: m.registration.writeID, Status: endive.CommitApplied,
		Result: endive.CommitResult{Revision: 2, Versions: []endive.Version{1}},
	})
}

// register completes the registration with an available table.
func (m *testMachine) register() {
	m.answerScan(configPrefix, 0, 1, teamRow(1))
	m.answerScan(entryPrefix, 0, 1)
	m.applyWrite()
	m.answerScan(configPrefix, 1, 2)
}

func TestReadyAfterRegistration(t *testing.T) {
	is := is.New(t)
	m := newTestMachine()
	m.answerScan(configPrefix, 0, 1, teamRow(1))
	m.answerScan(entryPrefix, 0, 1)
	is.True(!m.Ready(m.clock.Now())) // the row is not written yet
	m.applyWrite()
	is.True(!m.Ready(m.clock.Now())) // the configuration was not read since
	m.answerScan(configPrefix, 1, 2)
	is.True(m.Ready(m.clock.Now()))
	is.Equal(m.revision, endive.Revision(1))
}

// TestScanSentBeforeRegistration checks that a scan that was sent before the entry's
// row was written doesn't complete the registration.
func TestScanSentBeforeRegistration(t *testing.T) {
	is := is.New(t)
	m := newTestMachine()
	m.answerScan(entryPrefix, 0, 1)
	m.applyWrite()
	m.answerScan(configPrefix, 0, 1, teamRow(1))
	is.True(!m.Ready(m.clock.Now()))
	m.answerScan(configPrefix, 1, 2)
	is.True(m.Ready(m.clock.Now()))
}

// TestExpiredRegistrationIsRepeated checks that the row is written again if so much
// time passes before the configuration is read that another entry may have revoked the
// registration.
func TestExpiredRegistrationIsRepeated(t *testing.T) {
	is := is.New(t)
	m := newTestMachine()
	m.answerScan(configPrefix, 0, 1, teamRow(1))
	m.answerScan(entryPrefix, 0, 1)
	m.clock.Advance(time.Duration(DefaultContactTimeout))
	m.applyWrite()
	m.answerScan(configPrefix, 1, 2)
	is.True(!m.Ready(m.clock.Now()))
	is.Equal(m.writes, 2)
}

// TestLostContact checks that an entry without contact to the table or a peer stops
// serving clients, and resumes only after a peer has sent its configuration with a
// grant.
func TestLostContact(t *testing.T) {
	is := is.New(t)
	m := newTestMachine()
	m.register()
	m.step(endive.MembersChanged{Peers: endive.Peers{{ID: "b", State: endive.MemberLive, Ready: true}}})
	m.clock.Advance(time.Duration(DefaultContactTimeout))
	is.True(!m.Ready(m.clock.Now())) // as time passes, before any event
	m.step(endive.Wake{})
	answer := &wire.StateAnswer{Revision: 1, Sequence: m.stateRequests.last}
	m.step(endive.Received{From: "b", Message: answer})
	is.True(!m.Ready(m.clock.Now())) // the answer contains no grant
	answer = &wire.StateAnswer{Revision: 1, Sequence: m.stateRequests.add(m.clock.Now()), Granted: true}
	m.step(endive.Received{From: "b", Message: answer})
	is.True(m.Ready(m.clock.Now()))
	is.True(!m.registration.registered)
	m.clock.Advance(time.Duration(DefaultGrantDuration))
	is.True(!m.Ready(m.clock.Now()))
}

// TestGrantDelaysConfirmation checks that an entry confirms no later revision while a
// peer may use the configuration under a grant.
func TestGrantDelaysConfirmation(t *testing.T) {
	is := is.New(t)
	m := newTestMachine()
	m.register()
	m.step(endive.Received{From: "c", Message: &wire.StateAsk{Sequence: 1, Grant: true}})
	m.clock.Advance(time.Second)
	m.step(endive.Wake{})
	m.answerScan(configPrefix, 2, 5, teamRow(5))
	is.Equal(m.published.Resources["teams/cutters"].Ticket, endive.TicketNumber(5)) // published here
	is.Equal(m.revision, endive.Revision(1))                                        // but not confirmed
	m.clock.Advance(time.Duration(DefaultGrantDuration + DefaultClockMargin))
	m.step(endive.Wake{})
	is.Equal(m.revision, endive.Revision(5))
}

// TestGrantsOfPreviousRun checks that an entry confirms no revision while a grant of
// its previous incarnation may last.
func TestGrantsOfPreviousRun(t *testing.T) {
	is := is.New(t)
	m := newTestMachine()
	m.answerScan(configPrefix, 0, 1, teamRow(1))
	former := entryValue{Incarnation: "run-0"}
	m.answerScan(entryPrefix, 0, 1, endive.Row{Key: entryKey("a"), Version: 3, Revision: 1, Value: former.encode()})
	m.applyWrite()
	m.answerScan(configPrefix, 1, 2)
	is.Equal(m.revision, endive.Revision(0))
	m.clock.Advance(time.Duration(DefaultGrantDuration + DefaultClockMargin))
	m.step(endive.Wake{})
	is.Equal(m.revision, endive.Revision(1))
}

func FuzzDecodeConfigured(f *testing.F) {
	f.Add("teams/cutters", teamRow(1).Value)
	f.Add("services/quote", []byte(`{"ticket":1,"service":{"name":"quote"},"team":{}}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		c, err := decodeConfigured(endive.ResourceKey(key), value)
		if err != nil {
			return
		}
		again, err := decodeConfigured(endive.ResourceKey(key), encodeConfigured(c))
		if err != nil || again.Ticket != c.Ticket {
			t.Fatalf("%s: %+v reads back as %+v, %v", key, c, again, err)
		}
	})
}
