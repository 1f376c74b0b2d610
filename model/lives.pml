/*
 * One exclusive task, a worker that restarts under its id, another one, and calls that
 * are carried out late, by whatever incarnation is up, under one or two holders.
 *
 * worker.pml lets a late command be lost with a restart; here the next incarnation
 * carries it out (lives_worker.pml). Time is counted in ticks. The steps are those of
 * package flow (formercalls.go, incarnation.go, tenure.go, pollresult.go, stop.go). A
 * former holder sends nothing after its tenure (lease.pml); its calls may be in flight.
 * A holder sends no order to start once a success is recorded.
 *
 * Properties: the task never runs on two workers at the same time. An incarnation that
 * has carried out a call of a holder that knew it starts nothing by an order for a former
 * one, and forgets no success before it is recorded. Before such a call it may do both:
 * nothing can prevent that. Each mutant omits one guard; check.sh lists them.
 */
#define WORKERS 2
#define STARTS 2          /* runs */

/* With TAKEOVER, worker 0 restarts once, and the holder changes; otherwise it restarts
 * twice under one holder. */
#ifdef TAKEOVER
#define HOLDERS 2
#define RESTARTS 1
#else
#define HOLDERS 1
#define RESTARTS 2
#endif

#include "lives_worker.pml"

/* The answer to a poll in flight, if from is a worker: what the worker listed then,
 * whether the poll renewed leases, and whether the holder has ordered anything since. The
 * answers of worker 1 arrive or get lost at once. */
#define NOBODY 2
byte from = NOBODY;
byte answerLife;
byte answerRun;
byte answerEnd;
byte answerEndRun;
bool answerSuccess;
bool renewed;
bool overtaken;

/* The holder: its number; what it knows of each worker: the incarnation, 0 for unknown;
 * how often it has raised its epoch there; whether the last poll failed; the last end; until
 * when an order to start may be carried out late; until when leases last on the known
 * incarnation, and on any; whether the task can't be on the worker. */
byte holder = 1;
byte knownLife[WORKERS];
byte raised[WORKERS];
bool failed[WORKERS];
byte lastEnd[WORKERS];
byte lateStart[WORKERS];
byte granted[WORKERS];
byte anywhere[WORKERS];
bool free[WORKERS] = true;

/* The task's current run: its number, 0 for none; its worker; its state; whether the known
 * incarnation has listed it. What remains of the wait of a takeover; the number of
 * runs; whether a success is recorded. */
#define UNANSWERED 0
#define CONFIRMED 1
#define STOPPING 2
#define STOPPED 3
byte current;
byte at;
byte state;
bool reported;
byte takeover;
byte started;
bool recorded;

#define EPOCH(w) (holder * 4 + raised[w])
#ifdef GRANTED_LEASE
#define GIVEN_UP (granted[at] == 0)
#else
#define GIVEN_UP (granted[at] == 0 && (reported || anywhere[at] == 0))
#endif

#ifdef TAKEOVER_GRANTED
#define WAIT GRANTED
#else
#ifdef TAKEOVER_LONGEST
#define WAIT LONGEST
#else
#define WAIT (LATE + LONGEST)
#endif
#endif

/* Whether the answered poll carried the epoch that the worker must have. */
#ifdef FIRST_POLL
#define CARRIED_EPOCH(w) true
#else
#define CARRIED_EPOCH(w) (!restarted)
#endif

/* Whether the answer to a poll that was sent now can show that the task isn't on the worker. */
#ifdef AT_ONCE
#define NO_LATE_START(w) true
#else
#define NO_LATE_START(w) (lateStart[w] == 0)
#endif

/* AT_ONCE alone is rejected: a later incarnation, which nobody has seen, carries out the
 * late order. With CALM, no worker restarts while an order to start may be carried out there that
 * its holder doesn't wait for any more, or while an answer is in flight. */
#ifdef CALM
#define MAY_RESTART(w) (late.call[START].left == 0 || late.call[START].number == current && from == NOBODY)
#else
#define MAY_RESTART(w) true
#endif

/* An order to start, or a poll that renews leases, got no answer. */
inline unanswered(w) { anywhere[w] = MAX(anywhere[w], LATE_AT(w) + LONGEST) }

inline endCurrent() { current = 0; at = 0; state = UNANSWERED; reported = false }

inline forgetAnswer() {
	from = NOBODY; answerLife = 0; answerRun = 0; answerEnd = 0; answerEndRun = 0;
	answerSuccess = false; renewed = false; overtaken = false
}

/* Orders the task to start. The other worker can't have it. */
inline startTask(w) {
	started++;
	current = started; at = w; reported = false;
	granted[w] = MAX(granted[w], GRANTED);
	free[w] = false;
	overtaken = overtaken || from == w;
	if
	/* The answer names the incarnation only by its clock, which may not tell it. */
	:: true ->
		execStart(w, EPOCH(w), knownLife[w], 0, current);
		state = CONFIRMED;
		anywhere[w] = MAX(anywhere[w], LONGEST);
		if
		:: life[w] == knownLife[w] && lateStart[w] == 0 -> reported = true
		:: true
		fi
	/* No answer: the order is carried out now, later or never. */
	:: w == 1 || late.call[START].left == 0 ->
		if
		:: w == 0 -> send(START, EPOCH(w), knownLife[w], current)
		:: w == 1 -> execStart(w, EPOCH(w), knownLife[w], 0, current)
		:: w == 1
		fi;
		state = UNANSWERED;
		lateStart[w] = LATE_AT(w);
		unanswered(w)
	fi
}

/* Repeats an order that got no answer, at once; this one gets an answer. */
inline repeatStart(w) {
	granted[w] = MAX(granted[w], GRANTED);
	execStart(w, EPOCH(w), knownLife[w], 0, current);
	state = CONFIRMED;
	anywhere[w] = MAX(anywhere[w], LONGEST);
	overtaken = overtaken || from == w
}

#include "lives_poll.pml"

/* Orders the worker of the current run to stop it. From its answer on the worker refuses
 * the run. */
inline stopTask(w) {
	if
	:: true ->
		execStop(w, EPOCH(w), current);
		state = STOPPED;
		overtaken = overtaken || from == w
	:: w == 0 && late.call[POLL].left == 0 -> send(POLL, EPOCH(w), 0, current); late.stop = true
	fi
}

inline forgetWorker(w) {
	knownLife[w] = 0; raised[w] = 0; failed[w] = false; lastEnd[w] = 0;
	lateStart[w] = LATE_AT(w); granted[w] = 0; anywhere[w] = LATE_AT(w) + LONGEST; free[w] = false
}

inline takeOver() {
	holder = 2; takeover = WAIT;
	endCurrent();
	forgetAnswer();
	forgetWorker(0); forgetWorker(1)
}

/* Time passes. An answer takes less than a tick. */
inline tick(w) {
	passLease(w);
	lateStart[w] = LESS(lateStart[w]); granted[w] = LESS(granted[w]); anywhere[w] = LESS(anywhere[w])
}

init {
	byte w;
	do
	:: atomic {
		if
		:: w = 0 :: w = 1
		fi;
		if
		/* The holder. */
		:: current == 0 && !recorded && started < STARTS && knownLife[w] > 0 && !failed[w] && free[1 - w] -> startTask(w)
		:: current > 0 && at == w && state == UNANSWERED && !failed[w] && lateStart[w] == LATE -> repeatStart(w)
		:: from == NOBODY -> poll(w);
			if
			:: from == 1 -> receive(1)
			:: from == 1 -> pollFailed(1); forgetAnswer()
			:: else -> skip
			fi
		:: w == 0 && from == 0 -> receive(0)
		:: w == 0 && from == 0 -> pollFailed(0); forgetAnswer()
		:: current > 0 && at == w && state == STOPPING -> stopTask(w)
		:: current > 0 && at == w && failed[w] && GIVEN_UP -> free[w] = true; granted[w] = 0; endCurrent()
		/* A worker that this holder has had no run on, or whose late calls are over. */
		:: !free[w] && (current == 0 || at != w) && knownLife[w] > 0 && failed[w] && anywhere[w] == 0 && granted[w] == 0 -> free[w] = true
		:: !free[w] && knownLife[w] == 0 && takeover == 0 -> free[w] = true
		:: holder < HOLDERS -> takeOver()
		/* Late calls. */
		:: w == 0 && late.call[START].left > 0 -> read(START); execStart(w, token, by, old, number); drop(START)
		:: w == 0 && late.call[POLL].left > 0 && !late.stop -> read(POLL); execPoll(w, token, by, old, number); drop(POLL)
		:: w == 0 && late.call[POLL].left > 0 && late.stop -> read(POLL); execStop(w, token, number); drop(POLL)
		/* The workers. */
		:: runs[w] > 0 -> endRunAt(w, true)
		:: w == 0 && runs[w] > 0 -> endRunAt(w, false)
		:: w == 0 && life[w] <= RESTARTS && MAY_RESTART(w) -> restart(w)
		:: from == NOBODY -> pass(START); pass(POLL); tick(0); tick(1); takeover = LESS(takeover)
		:: else -> skip
		fi;
		assert(runs[0] == 0 || runs[1] == 0);
		/* What no longer matters. */
		if
		:: free[1] && (current == 0 || at == 0) -> anywhere[1] = 0; granted[1] = 0
		:: else -> skip
		fi;
		w = 0
	}
	od
}
