/*
 * One exclusive task on the workers of a slice, under three successive holders.
 *
 * lease.pml shows that no two entries may act on the slice at the same time; here
 * a new holder begins once the previous one may no longer act. Messages of the
 * previous holder may still be in flight. Timers and waiting are as in lease.pml.
 * The steps are those of the placement of a slice (package place) and of a worker
 * that handles an endive.WorkerCommand.
 *
 * Property: the task never runs on two workers at the same time. Each mutant omits
 * one guard; check.sh lists them.
 */
#ifndef EPOCHS
#define EPOCHS 3
#endif
#define HOLDERS 4         /* one for each epoch from 1 */
#define WORKERS 2

/* The newest epoch; its holder may act. A holder with an expired lease is modelled
 * as one that takes no step until the lease is renewed. */
byte epoch = 0;

/* What a holder knows about a worker. */
#define UNASKED 0
#define EMPTY 1
#define MAYRUN 2
#define SILENT 3          /* waited until nothing can run there any more */
typedef Knowledge { byte at[WORKERS] };
Knowledge known[HOLDERS];

/* A worker: the highest epoch that it has seen, and whether the task runs. A
 * running task ends when its lease expires; renewals only postpone that. */
byte seen[WORKERS];
bool runs[WORKERS];

/* The start command of a holder that is in flight to a worker: whether there is
 * one, the timer until which it may be delivered, and whether the worker has
 * received a later command of the holder. */
typedef Commands { bool sent[WORKERS]; bool life[WORKERS]; bool overtaken[WORKERS] };
Commands start[HOLDERS];

/* The report of a worker in flight to the newest holder: EMPTY or MAYRUN, and
 * whether the holder has sent a start command since it requested the report. */
byte report[WORKERS];
bool stale[WORKERS];

byte restarts = 0;

#ifdef OLD_ACTS
#define MAY_ACT(h) (h <= epoch)
#else
#define MAY_ACT(h) (h == epoch)
#endif

inline holder(h, w) {
	if
	/* Sends the worker a command, after which it refuses lower epochs; the report
	 * may get lost. */
	:: MAY_ACT(h) && h >= seen[w] && report[w] == 0 ->
		seen[w] = h;
#ifndef NO_SEQUENCE
		start[h].overtaken[w] = start[h].sent[w];
#endif
		if
		:: h == epoch && runs[w] -> report[w] = MAYRUN; stale[w] = false
		:: h == epoch && !runs[w] -> report[w] = EMPTY; stale[w] = false
		:: true
		fi

	/* Receives a report. One that was requested before the last start command is
	 * ignored, because it may not cover the task. */
	:: h == epoch && report[w] != 0 ->
		if
#ifndef STALE_REPORT
		:: stale[w] -> skip
#endif
		:: else -> known[h].at[w] = report[w]
		fi;
		report[w] = 0; stale[w] = false

	/* An unresponsive worker: the longest lease of a task, the grace in which a
	 * previous holder goes on renewing it, and the time in which a command may be
	 * delivered have passed. */
	:: (MAY_ACT(h) && known[h].at[w] == UNASKED
#ifndef NO_TASK_WAIT
		&& !runs[w] && !start[1].life[w] && !start[2].life[w] && !start[3].life[w]
#endif
		) -> known[h].at[w] = SILENT

	/* Starts the task, once it can't run on the other worker. */
	:: (MAY_ACT(h) && known[h].at[w] == EMPTY && !start[h].sent[w]
#ifndef START_UNASKED
		&& (known[h].at[1 - w] == EMPTY || known[h].at[1 - w] == SILENT)
#endif
		) -> start[h].sent[w] = true; start[h].life[w] = true; start[h].overtaken[w] = false;
		known[h].at[w] = MAYRUN; stale[w] = true
	:: else -> skip
	fi
}

inline drop(h, w) { start[h].sent[w] = false; start[h].life[w] = false; start[h].overtaken[w] = false }

inline worker(h, w) {
	if
	/* Receives a start command. */
	:: start[h].sent[w] ->
		if
		:: (true
#ifndef NO_WORKER_EPOCH
			&& h >= seen[w]
#endif
			&& !start[h].overtaken[w]) ->
			if
			:: h > seen[w] -> seen[w] = h
			:: else -> skip
			fi;
			runs[w] = true
		:: else -> skip
		fi;
		drop(h, w)

	/* Timers: that of a command's delivery, after which the command is lost, and the
	 * lease of the task. */
	:: start[h].life[w] ->
		start[h].life[w] = false;
#ifndef LATE_COMMAND
		drop(h, w)
#endif
	:: runs[w] -> runs[w] = false

	/* Restarts: the worker forgets the epochs, and commands in flight to it are lost. */
	:: restarts < 1 ->
		restarts++;
		seen[w] = 0; runs[w] = false; report[w] = 0; stale[w] = false;
		drop(1, w); drop(2, w); drop(3, w)
	:: else -> skip
	fi
}

inline lease() {
	if
	/* The next holder takes over. It knows nothing about the workers. */
	:: epoch < EPOCHS ->
		epoch++;
		report[0] = 0; report[1] = 0; stale[0] = false; stale[1] = false
	:: else -> skip
	fi
}

init {
	byte h, w;
	do
	:: atomic {
		if
		:: h = 1 :: h = 2 :: h = 3
		fi;
		if
		:: w = 0 :: w = 1
		fi;
		if
		:: true -> holder(h, w)
		:: true -> worker(h, w)
		:: true -> lease()
		fi;
		assert(!(runs[0] && runs[1]));
		h = 0; w = 0
	}
	od
}
