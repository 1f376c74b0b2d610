/*
 * The workers of lives.pml, and the calls in flight to them. Worker 0 restarts, and calls
 * to it may be late. Those to worker 1 are carried out at once or never.
 */
/* In ticks: the lease that holders grant, the longest lease that a worker keeps, and
 * how long after it was sent a call may be carried out. */
#define GRANTED 1
#define LONGEST 2
#define LATE 2
#define LATE_AT(w) (w == 0 -> LATE : 0)

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define LESS(a) ((a) > 0 -> (a) - 1 : 0)

/* A worker: its incarnation; the highest epoch that it has seen; the number of the
 * run of the task, 0 for none; the lease; the highest run that it won't start (again);
 * the number of ends; the end that it lists, 0 for none: its number, its run, whether
 * it is a success; whether it has carried out a call of a holder that knew it. */
byte life[WORKERS] = 1;
byte seen[WORKERS];
byte runs[WORKERS];
byte lease[WORKERS];
byte refused[WORKERS];
byte ends[WORKERS];
byte endNumber[WORKERS];
byte endRun[WORKERS];
bool success[WORKERS];
bool known[WORKERS];

/* The calls in flight to worker 0, one order to start and one poll or order to stop: for
 * how long they may still be carried out, 0 for none; their epoch; the incarnation by whose clock their
 * lease is, 0 for no lease; the run, or the end that a poll acknowledges. */
#define START 0
#define POLL 1
typedef Call { byte left; byte epoch; byte clock; byte number };
typedef Calls { Call call[2]; bool stop };
Calls late;

/* The call that is carried out, or sent, in the present step. */
hidden byte token;
hidden byte by;
hidden byte old;
hidden byte number;

/* Extends the lease of a worker. One by the clock of a former incarnation is in the far
 * future, so the worker shortens it. length is 0 if the lease is over already. */
hidden byte length;
inline extend(w, c, a) {
	if
	:: c == 0 -> length = 0
	:: c == life[w] -> length = (a < GRANTED -> GRANTED - a : 0); known[w] = true
	:: else -> length = LONGEST
	fi;
	lease[w] = MAX(lease[w], length)
}

/* Ends the run of a worker, which lists the end. A success isn't replaced in the list. */
inline endRunAt(w, succeeded) {
	refused[w] = MAX(refused[w], runs[w]);
	ends[w]++;
	if
	:: endNumber[w] > 0 && success[w] -> skip
	:: else -> endNumber[w] = ends[w]; endRun[w] = runs[w]; success[w] = succeeded
	fi;
	runs[w] = 0
}

/* A worker carries out calls. */
inline execStart(w, e, c, a, n) {
	if
	:: e < seen[w] -> skip
	:: else ->
		seen[w] = e;
		extend(w, c, a);
		if
		:: length > 0 && runs[w] == 0 && n > refused[w] ->
			assert(c == life[w] || !known[w]);
			runs[w] = n
		:: else -> skip
		fi
	fi
}

inline execPoll(w, e, c, a, n) {
	if
	:: e < seen[w] -> skip
	:: else ->
		seen[w] = e;
		extend(w, c, a);
		if
		:: endNumber[w] > 0 && endNumber[w] <= n ->
			assert(!success[w] || recorded || !known[w]);
			endNumber[w] = 0; endRun[w] = 0; success[w] = false
		:: else -> skip
		fi
	fi
}

inline execStop(w, e, n) {
	if
	:: e < seen[w] -> skip
	:: else ->
		seen[w] = e;
		refused[w] = MAX(refused[w], n);
		if
		:: runs[w] == n -> endRunAt(w, false)
		:: else -> skip
		fi
	fi
}

inline send(kind, e, c, n) {
	late.call[kind].left = LATE; late.call[kind].epoch = e;
	late.call[kind].clock = c; late.call[kind].number = n
}

inline read(kind) {
	token = late.call[kind].epoch; by = late.call[kind].clock;
	old = LATE - late.call[kind].left; number = late.call[kind].number
}

inline drop(kind) {
	late.call[kind].left = 0; late.call[kind].epoch = 0;
	late.call[kind].clock = 0; late.call[kind].number = 0;
	if
	:: kind == POLL -> late.stop = false
	:: else -> skip
	fi
}

inline restart(w) {
	life[w]++;
	seen[w] = 0; runs[w] = 0; lease[w] = 0; refused[w] = 0; known[w] = false;
	ends[w] = 0; endNumber[w] = 0; endRun[w] = 0; success[w] = false
}

inline pass(kind) {
	if
	:: late.call[kind].left == 1 -> drop(kind)
	:: late.call[kind].left > 1 -> late.call[kind].left--
	:: else -> skip
	fi
}

/* A tick for a worker: its lease ends before the holder's timers do. */
inline passLease(w) {
	lease[w] = LESS(lease[w]);
	if
	:: lease[w] == 0 && runs[w] > 0 -> endRunAt(w, false)
	:: else -> skip
	fi
}
