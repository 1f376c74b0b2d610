/*
 * The result "in force" of one change ticket, among three entries.
 *
 * Entry 0 writes the ticket and stays registered. Entries 0 and 1 run and are
 * registered initially; entry 2 starts later, possibly while the table is
 * unavailable, and may use the state of a peer. Entry 1 may crash and restart. Any
 * entry may be paused or disconnected: it takes no step for a long time, and its
 * timers expire. A step that needs the table doesn't happen while the table is
 * unavailable.
 *
 * Timers and waiting are as in lease.pml. The search is done twice, to keep it
 * exhaustive: with GRANTS, an entry that isn't registered may use a peer's state;
 * with REMOVALS, the registration of an entry that is gone may be revoked.
 *
 * Property: once the result "in force" was returned, every entry that may serve
 * clients has the ticket. Each mutant omits one guard; check.sh lists them.
 */
#define ENTRIES 3
#ifndef DEATHS
#define DEATHS 1          /* deaths of entry 1 */
#endif
#ifndef VERSIONS
#define VERSIONS 3        /* versions of an entry's row */
#endif

/* The table: whether the ticket is written, and the row entries/<id> with the
 * incarnation that it names, 0 for none, and its version. */
bool written = false;
byte row[ENTRIES];
byte version[ENTRIES];

/* An entry: its incarnation, 0 while it is down; its number of starts; its state
 * of the configuration; whether its row is written, and whether a read of the
 * configuration after that has completed the registration; and the timer until
 * which it may use its state. */
#define NOTHING 0
#define OLD 1
#define NEW 2
byte inc[ENTRIES];
byte runs[ENTRIES];
byte state[ENTRIES];
bool wrote[ENTRIES];
bool registered[ENTRIES];
bool young[ENTRIES];      /* the timer that began when the row was written */
bool valid[ENTRIES];

/* The incarnations of an entry that have confirmed the ticket: a bit for each. The
 * heartbeat with the confirmation may arrive at any time afterwards. */
byte confirmed[ENTRIES];

/* grantor is the peer that granted an entry the state which it uses, plus 1; 0 for
 * none. granting is the grantor of the grant in flight, plus 1; asked is that
 * grant's timer, which began when the state was requested; granted is its state. */
byte grantor[ENTRIES];
byte granting[ENTRIES];
bool asked[ENTRIES];
byte granted[ENTRIES];
/* base is the state of an entry when its grant in use began; forgot, whether a
 * restart has lost the record of the grants that the entry has made. */
byte base[ENTRIES];
#ifdef NO_FORMER
bool forgot[ENTRIES];     /* grants, by a restart */
#endif

/* The version of a row that its removal has as a condition, plus 1; 0 for none. */
byte removal[ENTRIES];

/* Entry 0: whether it knows that the ticket is written; for each entry, the
 * incarnation that its row named when it was read, until that incarnation has
 * confirmed; and whether the result "in force" was returned. */
#define UNREAD 254
#define DONE 255
bool knows = false;
byte waits[ENTRIES];
bool inForce = false;

byte deaths = 0;

/* ticket.Machine.Ready */
#define READY(e) (inc[e] != 0 && state[e] != NOTHING && valid[e])

/* ticket.grants: a state without the ticket, granted by p, may be in use at e. */
#define USED(e, p) ((granting[e] == p + 1 && asked[e] && granted[e] == OLD) || \
	(valid[e] && grantor[e] == p + 1 && base[e] == OLD))
#define GRANTED_BY(p) USED(2, p)

inline lapse(e) {
	valid[e] = false; grantor[e] = 0; base[e] = 0;
#ifndef KEEP_REGISTERED
	if
	:: registered[e] -> registered[e] = false; wrote[e] = false
	:: else -> skip
	fi
#endif
}

inline entry(e, p) {
	if
	/* ticket.Machine.register: writes the row, unless it has changed meanwhile. */
	:: inc[e] != 0 && !wrote[e] && version[e] < VERSIONS ->
		row[e] = inc[e]; version[e] = version[e] + (e != 0); wrote[e] = true; young[e] = true
#ifdef NO_PROOF
		;
		if
		:: state[e] != NOTHING -> registered[e] = true; young[e] = false; valid[e] = true; grantor[e] = 0; base[e] = 0
		:: else -> skip
		fi
#endif

	/* ticket.Machine.handleConfigScanned: reads the configuration. Soon after the
	 * row was written, this completes the registration. Later, the row is written
	 * again. */
	:: inc[e] != 0 ->
		if
		:: written -> state[e] = NEW
		:: else -> state[e] = OLD
		fi;
		if
		:: (wrote[e]
#ifndef LATE_PROOF
			&& (registered[e] || young[e])
#endif
			) -> registered[e] = true; young[e] = false; valid[e] = true; grantor[e] = 0; base[e] = 0
		:: else -> wrote[e] = false
		fi

	/* ticket.Machine.publish: confirms the ticket, once no peer may use an older
	 * state that this entry has granted. */
	:: (inc[e] != 0 && state[e] == NEW && (confirmed[e] & (1 << inc[e])) == 0
#ifdef NO_GRANT_HOLD
#elif defined(NO_FORMER)
		&& (!GRANTED_BY(e) || forgot[e])
#else
		&& !GRANTED_BY(e)
#endif
		) -> confirmed[e] = confirmed[e] | (1 << inc[e])

#ifdef GRANTS
	/* ticket.Machine.handleStateAsk: a peer grants the use of its state. */
	:: e == 2 && inc[e] != 0 && !registered[e] && granting[e] == 0 && READY(p) && registered[p] ->
		granting[e] = p + 1; granted[e] = state[p]; asked[e] = true

	/* ticket.Machine.handleStateAnswer: the state counts as current at the time of
	 * the request. */
	:: granting[e] != 0 ->
		if
		:: granted[e] > state[e] -> state[e] = granted[e]
		:: else -> skip
		fi;
		if
		:: asked[e] && !registered[e] ->
			valid[e] = true; grantor[e] = granting[e]; base[e] = state[e]
		:: else -> skip
		fi;
		granting[e] = 0; granted[e] = 0; asked[e] = false
#endif

#ifdef KEEP_REGISTERED
	/* ticket.Machine.handleStateAnswer, for a registered entry: contact with a peer. */
	:: registered[e] && !valid[e] && READY(p) && registered[p] -> valid[e] = true
#endif

	/* ticket.Machine.mergeRows: the notice of the ticket. */
	:: inc[e] != 0 && knows && state[e] == OLD -> state[e] = NEW

	/* Timers: that of a new row, ticket.registration.expire, and that of a request
	 * for a peer's state. */
	:: young[e] -> young[e] = false
	:: e != 0 && valid[e] -> lapse(e)
	:: asked[e] -> asked[e] = false; granting[e] = 0; granted[e] = 0

#ifdef REMOVALS
	/* ticket.Machine.removeGoneEntry: the entry has been gone, at this version of
	 * its row, for longer than it serves clients without contact and for longer than
	 * its grants last. */
	:: (e != 0 && row[e] != 0 && removal[e] == 0 && READY(p) && registered[p]
#ifndef REMOVE_EARLY
		&& !(valid[e] && registered[e]) && !young[e] && !GRANTED_BY(e)
#endif
		) -> removal[e] = version[e] + 1
	:: removal[e] != 0 ->
		if
#ifndef REMOVE_UNCONDITIONAL
		:: removal[e] != version[e] + 1 -> skip
#endif
		:: else -> row[e] = 0; version[e]++
		fi;
		removal[e] = 0
#endif

	/* Crashes and restarts. */
	:: e == 1 && inc[e] != 0 && deaths < DEATHS ->
		deaths++;
		lapse(e); inc[e] = 0; state[e] = NOTHING; wrote[e] = false; registered[e] = false; young[e] = false;
		granting[e] = 0; asked[e] = false; granted[e] = 0
#ifdef NO_FORMER
		; forgot[e] = true
#endif
	:: inc[e] == 0 -> runs[e]++; inc[e] = runs[e]
	:: else -> skip
	fi
}

inline keeper(e) {
	if
	/* ticket.Machine.write: the transaction; its answer may be late. */
	:: !written -> written = true
	:: written && !knows -> knows = true; state[0] = NEW

	/* ticket.Machine.entriesRead: reads which entries are registered. */
	:: (waits[e] == UNREAD
#ifndef OLD_ROWS
		&& knows
#endif
		) ->
		if
		:: row[e] == 0 -> waits[e] = DONE
#ifdef NO_ROWS
		:: row[e] != 0 && e != 0 -> waits[e] = DONE
#endif
		:: else -> waits[e] = row[e]
		fi

	/* ticket.Machine.unconfirmedEntries: a heartbeat of that incarnation confirms
	 * the ticket. */
	:: (waits[e] < UNREAD && knows
#ifdef ANY_RUN
		&& confirmed[e] != 0
#else
		&& (confirmed[e] & (1 << waits[e])) != 0
#endif
		) -> waits[e] = DONE

	/* ticket.Machine.finishRollout */
	:: knows && waits[0] == DONE && waits[1] == DONE && waits[2] == DONE && !inForce -> inForce = true
	:: else -> skip
	fi
}

#define BEHIND(e) (READY(e) && state[e] == OLD)

init {
	byte e, p;
	d_step {
		e = 0;
		do
		:: e < 2 ->
			inc[e] = 1; runs[e] = 1; state[e] = OLD; row[e] = 1; version[e] = 1;
			wrote[e] = true; registered[e] = true; valid[e] = true; e++
		:: else -> break
		od;
		e = 0; waits[0] = UNREAD; waits[1] = UNREAD; waits[2] = UNREAD
	}
	do
	:: atomic {
		if
		:: e = 0 :: e = 1 :: e = 2
		fi;
		if
		:: p = (e + 1) % ENTRIES; entry(e, p)
		:: p = (e + 2) % ENTRIES; entry(e, p)
		:: keeper(e)
		fi;
		assert(!inForce || !(BEHIND(0) || BEHIND(1) || BEHIND(2)));
		e = 0; p = 0
	}
	od
}
