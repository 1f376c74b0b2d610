/*
 * The lease of one slice and its hand-over, among three entries.
 *
 * The comment at each step names the Go function that implements it. A step that
 * doesn't happen for a long time is a pause, a slow table or a slow network:
 * nothing here bounds the delay of a step. A lost answer of the table is modelled
 * as a late one, because the table's client finds out whether the transaction was
 * applied.
 *
 * Time is a set of timers, each of which may expire at any moment. What a process
 * may conclude from having waited is a guard: timers that began earlier have
 * expired. The settings must make that true (lease and margin).
 *
 * Property: two entries may never act on the slice at the same time. Each mutant
 * omits one guard; check.sh lists them.
 */
#define ENTRIES 3
#ifndef EPOCHS
#define EPOCHS 3   /* holders of the slice, one after the other */
#endif
#ifndef VERSIONS
#define VERSIONS 5 /* versions of the lease row */
#endif
#define NONE 255

/* The table: slices/<id>/epoch and slices/<id>/lease. A transaction that writes the
 * first row writes the second too, so the version of the second identifies the
 * state of both. */
byte epoch = 0, holder = NONE, version = 0;
bool handed = false;

/* An entry: the epoch under which it holds the slice, 0 for none; the timer of its
 * lease, and the version of the lease row that started this timer. */
byte mine[ENTRIES];
bool lease[ENTRIES];
byte began[ENTRIES];

/* The version that an entry has seen while it doesn't hold the slice, plus 1; 0 for
 * none. */
byte saw[ENTRIES];

/* The transaction of an entry: its kind, its condition, its outcome, the timer that
 * began when it was sent, and the version that it wrote. */
#define IDLE 0
#define RENEW 1
#define TAKE 2
#define HAND 3
byte fly[ENTRIES];
byte cond[ENTRIES];
byte done[ENTRIES];       /* 0 on its way, 1 written, 2 not written */
bool sent[ENTRIES];       /* the timer */
byte wrote[ENTRIES];

byte crashes = 0;

/* endive.LeaseChanged: before each action, the holder checks by the clock that its
 * lease hasn't expired. */
#ifdef NO_CLOCK
#define MAY_ACT(e) (mine[e] != 0)
#else
#define MAY_ACT(e) (mine[e] != 0 && lease[e])
#endif

/* A lease that an earlier version than v started, or may still start, is running. */
#define RUNS_FROM(e, v) ((lease[e] && began[e] < v) || (done[e] == 1 && sent[e] && wrote[e] < v))
#define SURELY_OVER(v) (!RUNS_FROM(0, v) && !RUNS_FROM(1, v) && !RUNS_FROM(2, v))

#define VACANT(e) (handed && holder == NONE && saw[e] == version + 1)

inline land(e) { fly[e] = IDLE; cond[e] = 0; done[e] = 0; sent[e] = false; wrote[e] = 0 }
inline lose(e) { mine[e] = 0; lease[e] = false; began[e] = 0 }

inline step(e) {
	if
	/* lease.Machine.handleScanned: an entry that doesn't hold the slice records the
	 * rows' versions. */
	:: mine[e] == 0 && fly[e] == IDLE && saw[e] != version + 1 -> saw[e] = version + 1

	/* lease.Machine.applyEpochRow: a holder sees that another entry holds the slice. */
	:: mine[e] != 0 && fly[e] == IDLE && epoch != mine[e] -> lose(e)

	/* lease.Machine.acquireExpired: the rows were unchanged for the lease and a
	 * margin, or the previous holder has released the slice in a planned stop. */
	:: (mine[e] == 0 && fly[e] == IDLE && saw[e] != 0 && epoch < EPOCHS && version < VERSIONS
#ifndef NO_WAIT
		&& (SURELY_OVER(saw[e]) || VACANT(e))
#endif
		) -> fly[e] = TAKE; sent[e] = true; cond[e] = saw[e] - 1; saw[e] = 0

	/* lease.Machine.renew: renews a lease that the entry holds, or the lease of a
	 * slice that was handed over to it. */
	:: mine[e] != 0 && fly[e] == IDLE && version < VERSIONS ->
		fly[e] = RENEW; sent[e] = true; cond[e] = mine[e]
	:: mine[e] == 0 && fly[e] == IDLE && holder == e && handed && version < VERSIONS ->
		fly[e] = RENEW; sent[e] = true; cond[e] = epoch; saw[e] = 0

	/* lease.Machine.nameSuccessor, vacate: the state machine of the slice has stopped
	 * (lease.Released) before a successor is named, or no holder. */
	:: mine[e] != 0 && fly[e] == IDLE && lease[e] && epoch < EPOCHS && version < VERSIONS ->
		fly[e] = HAND; cond[e] = mine[e];
#ifndef HAND_EARLY
		lose(e)
#endif

	/* The table applies a transaction, or refuses it. */
	:: fly[e] != IDLE && done[e] == 0 ->
		if
		:: (fly[e] == RENEW
#ifndef RENEW_UNFENCED
			&& epoch == cond[e]
#endif
			) -> version++; done[e] = 1; wrote[e] = version
		:: (fly[e] == TAKE
#ifndef TAKE_UNCONDITIONAL
			&& version == cond[e]
#endif
			) -> epoch++; holder = e; handed = false; version++; done[e] = 1; wrote[e] = version
		:: fly[e] == HAND && epoch == cond[e] ->
			epoch++; handed = true; version++; done[e] = 1;
			if
			:: holder = (e + 1) % ENTRIES
			:: holder = (e + 2) % ENTRIES
			:: holder = NONE
			fi
		:: done[e] = 2
		fi

	/* lease.Machine.handleRenewed, accept: the lease runs from the time at which the
	 * renewal was sent. */
	:: fly[e] == RENEW && done[e] == 1 ->
		mine[e] = cond[e];
#ifdef FROM_ANSWER
		sent[e] = true;
#endif
		if
		:: sent[e] -> lease[e] = true; began[e] = wrote[e]
		:: else -> skip
		fi;
		land(e)

	/* lease.Machine.handleAcquired. */
	:: fly[e] == TAKE && done[e] == 1 ->
		mine[e] = epoch;
		if
		:: holder != e || handed -> mine[e] = 0    /* another one came after */
		:: else -> lease[e] = sent[e]; began[e] = wrote[e]
		fi;
		land(e)

	/* lease.Machine.handleSuccessorNamed. */
	:: fly[e] == HAND && done[e] == 1 -> lose(e); land(e)

	/* Each of these three functions, if the transaction wrote nothing. */
	:: fly[e] != IDLE && done[e] == 2 ->
		if
		:: mine[e] != 0 && epoch != mine[e] -> lose(e)
		:: else -> skip
		fi;
		land(e)

	/* Timers. */
	:: lease[e] -> lease[e] = false; began[e] = 0
	:: sent[e] -> sent[e] = false

	/* The process crashes; messages that it has sent may still arrive. */
	:: crashes < 1 && mine[e] != 0 && fly[e] == IDLE -> crashes++; lose(e)
	:: else -> skip
	fi
}

init {
	byte e;
	do
	:: atomic {
		if
		:: e = 0 :: e = 1 :: e = 2
		fi;
		step(e);
		assert(!(MAY_ACT(0) && MAY_ACT(1)) && !(MAY_ACT(0) && MAY_ACT(2)) && !(MAY_ACT(1) && MAY_ACT(2)));
		e = 0
	}
	od
}
