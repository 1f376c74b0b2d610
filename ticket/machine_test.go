package ticket

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/wire"
)

// testMachine is one keeper whose events a test makes by hand.
type testMachine struct {
	*Machine
	clock *fakes.Clock
	// revision is that of the newest configuration given out.
	revision endive.Revision
	writes   int
}

func newTestMachine() *testMachine {
	s := &testMachine{Machine: New(Settings{}, "a", "run-1"), clock: fakes.NewClock()}
	s.step(endive.Wake{})
	return s
}

func (s *testMachine) step(event endive.Event) {
	for _, action := range s.Step(s.clock.Now(), event) {
		switch a := action.(type) {
		case endive.PublishConfig:
			s.revision = a.Config.Revision
		case endive.Commit:
			s.writes++
		}
	}
}

// answerScan answers the scan of a prefix that is on its way.
func (s *testMachine) answerScan(prefix string, after, revision endive.Revision, rows ...endive.Row) {
	s.step(endive.Scanned{Prefix: prefix, After: after, Changes: endive.Changes{Rows: rows, Revision: revision}})
}

func teamRow(revision endive.Revision) endive.Row {
	value := encodeConfigured(endive.ConfiguredResource{Ticket: endive.TicketNumber(revision), Team: &endive.Team{Name: "cutters"}})
	return endive.Row{Key: "config/teams/cutters", Version: endive.Version(revision), Revision: revision, Value: value}
}

func (s *testMachine) applyWrite() {
	s.step(endive.Committed{
		WriteID: s.registration.writeID, Status: endive.CommitApplied,
		Result: endive.CommitResult{Revision: 2, Versions: []endive.Version{1}},
	})
}

// register goes through a start with the table up.
func (s *testMachine) register() {
	s.answerScan(configPrefix, 0, 1, teamRow(1))
	s.answerScan(entryPrefix, 0, 1)
	s.applyWrite()
	s.answerScan(configPrefix, 1, 2)
}

func TestReadyAfterRegistration(t *testing.T) {
	is := is.New(t)
	s := newTestMachine()
	s.answerScan(configPrefix, 0, 1, teamRow(1))
	s.answerScan(entryPrefix, 0, 1)
	is.True(!s.Ready(s.clock.Now())) // not registered yet
	s.applyWrite()
	is.True(!s.Ready(s.clock.Now())) // not proved yet
	s.answerScan(configPrefix, 1, 2)
	is.True(s.Ready(s.clock.Now()))
	is.Equal(s.revision, endive.Revision(1))
}

// TestScanSentBeforeRegistration checks that a read which was sent before the row was written
// proves nothing.
func TestScanSentBeforeRegistration(t *testing.T) {
	is := is.New(t)
	s := newTestMachine()
	s.answerScan(entryPrefix, 0, 1)
	s.applyWrite()
	s.answerScan(configPrefix, 0, 1, teamRow(1))
	is.True(!s.Ready(s.clock.Now()))
	s.answerScan(configPrefix, 1, 2)
	is.True(s.Ready(s.clock.Now()))
}

// TestExpiredRegistrationIsRepeated checks that a registration which may have been taken back before
// it was proved is written anew.
func TestExpiredRegistrationIsRepeated(t *testing.T) {
	is := is.New(t)
	s := newTestMachine()
	s.answerScan(configPrefix, 0, 1, teamRow(1))
	s.answerScan(entryPrefix, 0, 1)
	s.clock.Advance(time.Duration(DefaultContactTimeout))
	s.applyWrite()
	s.answerScan(configPrefix, 1, 2)
	is.True(!s.Ready(s.clock.Now()))
	is.Equal(s.writes, 2)
}

// TestLostContact checks that an entry without contact stops answering callers,
// and isn't helped by a peer's state alone.
func TestLostContact(t *testing.T) {
	is := is.New(t)
	s := newTestMachine()
	s.register()
	s.step(endive.MembersChanged{Peers: endive.Peers{{ID: "b", State: endive.MemberLive, Ready: true}}})
	s.clock.Advance(time.Duration(DefaultContactTimeout))
	is.True(!s.Ready(s.clock.Now())) // by the clock, before any event
	s.step(endive.Wake{})
	answer := &wire.StateAnswer{Revision: 1, Sequence: s.stateRequests.last}
	s.step(endive.Received{From: "b", Message: answer})
	is.True(!s.Ready(s.clock.Now())) // the answer grants nothing
	answer = &wire.StateAnswer{Revision: 1, Sequence: s.stateRequests.add(s.clock.Now()), Granted: true}
	s.step(endive.Received{From: "b", Message: answer})
	is.True(s.Ready(s.clock.Now()))
	is.True(!s.registration.registered)
	s.clock.Advance(time.Duration(DefaultGrantDuration))
	is.True(!s.Ready(s.clock.Now()))
}

// TestGrantDelaysConfirmation checks that a later revision isn't confirmed while
// a peer may use the state that was granted to it.
func TestGrantDelaysConfirmation(t *testing.T) {
	is := is.New(t)
	s := newTestMachine()
	s.register()
	s.step(endive.Received{From: "c", Message: &wire.StateAsk{Sequence: 1, Grant: true}})
	s.clock.Advance(time.Second)
	s.step(endive.Wake{})
	s.answerScan(configPrefix, 2, 5, teamRow(5))
	is.Equal(s.published.Resources["teams/cutters"].Ticket, endive.TicketNumber(5)) // in force here
	is.Equal(s.revision, endive.Revision(1))                                        // and not confirmed
	s.clock.Advance(time.Duration(DefaultGrantDuration + DefaultClockMargin))
	s.step(endive.Wake{})
	is.Equal(s.revision, endive.Revision(5))
}

// TestGrantsOfPreviousRun checks that an entry confirms nothing while a grant of its
// former run may last.
func TestGrantsOfPreviousRun(t *testing.T) {
	is := is.New(t)
	s := newTestMachine()
	s.answerScan(configPrefix, 0, 1, teamRow(1))
	former := entryValue{Incarnation: "run-0"}
	s.answerScan(entryPrefix, 0, 1, endive.Row{Key: entryKey("a"), Version: 3, Revision: 1, Value: former.encode()})
	s.applyWrite()
	s.answerScan(configPrefix, 1, 2)
	is.Equal(s.revision, endive.Revision(0))
	s.clock.Advance(time.Duration(DefaultGrantDuration + DefaultClockMargin))
	s.step(endive.Wake{})
	is.Equal(s.revision, endive.Revision(1))
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
