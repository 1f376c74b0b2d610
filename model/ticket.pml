/*
 * Change tickets: which ticket may be written, and which configuration an entry
 * adopts and confirms.
 *
 * Three entries apply tickets to two resources: ticket 1 to the first at entry 0,
 * ticket 2 to the second at entry 1, a different ticket 2 to the first at entry 2;
 * and ticket 1 again at entry 1, as an operator does who didn't get the answer. The
 * answer of a transaction may never arrive. Notices and states of peers arrive in
 * any order, late and more than once. The set of registered entries is fixed here;
 * force.pml covers its changes.
 *
 * Properties: no resource returns to a lower ticket, in the table or at an entry; a
 * number has one content; the results "in force" and "refused" are correct. Each
 * mutant omits one guard; check.sh lists them.
 */
#define ENTRIES 3
#define APPLIES 4

/* The applies: their entry, ticket number, content and resource. */
#define AT(a) (a == 0 -> 0 : (a == 2 -> 2 : 1))
#define NUMBER(a) ((a == 0 || a == 3) -> 1 : 2)
#define CONTENT(a) (a == 3 -> 1 : a + 1)
#define RESOURCE(a) (a == 1 -> 1 : 0)

/* The table: the content and version of each resource, the content under each
 * number, and the revision at which each content was written; the latest revision. */
byte holds[2];
byte version[2];
byte numbers[3];
byte change[4];
byte changes = 0;

/* Ticket numbers of contents 0 to 3. */
#define RANK(c) (c == 0 -> 0 : (c == 1 -> 1 : 2))

/* An entry: the content and version of each resource as it knows them, and the
 * revision up to which it has every change. */
typedef Entry { byte has[2]; byte version[2]; byte complete };
Entry entries[ENTRIES];

/* The phases of an apply: not sent; sent with its condition; written or not written
 * by the table; known to be written; answered with "in force" or "refused". */
#define NEW 0
#define SENT 1
#define WRITTEN 2
#define UNWRITTEN 3
#define KNOWN 4
#define INFORCE 5
#define REFUSED 6
byte phase[APPLIES];
byte cond[APPLIES];

inline take(e, r, c, v) {
	if
#ifdef NO_ORDER
	:: true -> entries[e].has[r] = c
#else
	:: RANK(c) > RANK(entries[e].has[r]) -> entries[e].has[r] = c
#endif
	:: else -> skip
	fi;
	if
	:: v > entries[e].version[r] -> entries[e].version[r] = v
	:: else -> skip
	fi
}

inline apply(a) {
	if
	/* ticket.Machine.write: the condition is the version that the entry knows. A
	 * resource that the same or a higher ticket is known to have set isn't written. */
	:: (phase[a] == NEW
#ifndef ANY_ROW
		&& RANK(entries[AT(a)].has[RESOURCE(a)]) < NUMBER(a)
#endif
		) -> phase[a] = SENT; cond[a] = entries[AT(a)].version[RESOURCE(a)]

	/* ticket.Machine.handleStoredRead: the ticket is refused, or was written before. */
	:: phase[a] == NEW && RANK(entries[AT(a)].has[RESOURCE(a)]) >= NUMBER(a) ->
		if
		:: numbers[NUMBER(a)] == CONTENT(a) -> phase[a] = KNOWN
		:: else -> phase[a] = REFUSED
		fi

	/* ticket.rollout.transaction, in the table. */
	:: phase[a] == SENT ->
		if
		:: (true
#ifndef NO_VERSION
			&& version[RESOURCE(a)] == cond[a]
#endif
#ifndef NO_NUMBER
			&& numbers[NUMBER(a)] == 0
#endif
			) ->
			assert(numbers[NUMBER(a)] == 0 || numbers[NUMBER(a)] == CONTENT(a));
			assert(NUMBER(a) > RANK(holds[RESOURCE(a)]));
			changes++;
			holds[RESOURCE(a)] = CONTENT(a);
			version[RESOURCE(a)]++;
			numbers[NUMBER(a)] = CONTENT(a);
			change[CONTENT(a)] = changes;
			phase[a] = WRITTEN
		:: phase[a] = UNWRITTEN
		fi;
		cond[a] = 0

	/* ticket.Machine.handleTicketCommitted: after a lost answer, the outcome becomes
	 * known later. */
#ifdef LOST_IS_NO
	:: phase[a] == WRITTEN -> phase[a] = REFUSED
#endif
	:: phase[a] == WRITTEN ->
		take(AT(a), RESOURCE(a), CONTENT(a), 0);
		phase[a] = KNOWN

	/* ticket.Machine.handleConflict: the rows show why the transaction was refused. */
	:: phase[a] == UNWRITTEN ->
		if
		:: numbers[NUMBER(a)] == CONTENT(a) -> phase[a] = KNOWN
		:: numbers[NUMBER(a)] != 0 && numbers[NUMBER(a)] != CONTENT(a) -> phase[a] = REFUSED
		:: numbers[NUMBER(a)] == 0 ->
			phase[a] = NEW;
			take(AT(a), RESOURCE(a), holds[RESOURCE(a)], version[RESOURCE(a)])
		fi

	/* ticket.Machine.finishRollout: each entry has confirmed the ticket's revision. */
	:: phase[a] == KNOWN && entries[0].complete >= change[CONTENT(a)] &&
		entries[1].complete >= change[CONTENT(a)] && entries[2].complete >= change[CONTENT(a)] ->
		phase[a] = INFORCE
	:: else -> skip
	fi
}

inline learn(e, p, c) {
	if
	/* ticket.Machine.handleConfigScanned */
	:: entries[e].complete < changes ->
		take(e, 0, holds[0], version[0]);
		take(e, 1, holds[1], version[1]);
		entries[e].complete = changes

	/* ticket.Machine.mergeRows: a notice, possibly an old one, contains one ticket;
	 * the entry may still lack earlier ones, so the notice confirms nothing. */
	:: change[c] != 0 ->
		if
		:: c == 2 -> take(e, 1, c, 0)
		:: else -> take(e, 0, c, 0)
		fi;
#ifdef NOTICE_CONFIRMS
		if
		:: change[c] > entries[e].complete -> entries[e].complete = change[c]
		:: else -> skip
		fi
#endif

	/* ticket.Machine.handleStateAnswer: the whole configuration of a peer. */
	:: entries[p].complete > entries[e].complete ->
		take(e, 0, entries[p].has[0], 0);
		take(e, 1, entries[p].has[1], 0);
		entries[e].complete = entries[p].complete
	:: else -> skip
	fi
}

/* The result of an apply is correct. */
#define HAS(e, a) (RANK(entries[e].has[RESOURCE(a)]) >= NUMBER(a))
#define TRUE(a) ((phase[a] != INFORCE || (numbers[NUMBER(a)] == CONTENT(a) && HAS(0, a) && HAS(1, a) && HAS(2, a))) && \
	(phase[a] != REFUSED || numbers[NUMBER(a)] != CONTENT(a)))

init {
	byte e, p, a, c;
	do
	:: atomic {
		if
		:: a = 0; apply(a)
		:: a = 1; apply(a)
		:: a = 2; apply(a)
		:: a = 3; apply(a)
		:: e = 0; p = 1; c = 1; learn(e, p, c)
		:: e = 0; p = 2; c = 2; learn(e, p, c)
		:: e = 0; p = 1; c = 3; learn(e, p, c)
		:: e = 1; p = 0; c = 1; learn(e, p, c)
		:: e = 1; p = 2; c = 2; learn(e, p, c)
		:: e = 1; p = 0; c = 3; learn(e, p, c)
		:: e = 2; p = 0; c = 1; learn(e, p, c)
		:: e = 2; p = 1; c = 2; learn(e, p, c)
		:: e = 2; p = 0; c = 3; learn(e, p, c)
		fi;
		assert(TRUE(0) && TRUE(1) && TRUE(2) && TRUE(3));
		e = 0; p = 0; a = 0; c = 0
	}
	od
}
