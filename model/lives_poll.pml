/*
 * The polls of lives.pml: what the holder sends, and what it learns from the answers.
 */
inline pollFailed(w) {
	failed[w] = true;
	if
#ifndef LATE_POLLS_IGNORED
	:: renewed -> unanswered(w)
#endif
	:: else -> skip
	fi;
	renewed = false
}

/* Polls a worker. Polls renew the leases of a worker that has the run, and acknowledge
 * the ends of one that has answered the last poll. */
inline poll(w) {
	renewed = (current > 0 && at == w && knownLife[w] > 0);
	if
	:: renewed -> granted[w] = MAX(granted[w], GRANTED); by = knownLife[w]
	:: else -> by = 0
	fi;
	number = (failed[w] -> 0 : lastEnd[w]);
	if
	:: true ->
		execPoll(w, EPOCH(w), by, 0, number);
		/* A poll that knows the incarnation closes it to earlier calls. */
		if
		:: life[w] == knownLife[w] -> known[w] = true
		:: else -> skip
		fi;
		from = w; answerLife = life[w]; answerRun = runs[w];
		answerEnd = endNumber[w]; answerEndRun = endRun[w]; answerSuccess = success[w];
		overtaken = false
	:: w == 1 || by == 0 && number == 0 -> pollFailed(w)
	:: w == 0 && late.call[POLL].left == 0 && (by > 0 || number > 0) ->
		send(POLL, EPOCH(w), by, number);
		pollFailed(w)
	fi
}

/* Adopts a run of the former holder, whose order to start it may still be carried out. */
inline adopt(w) {
	current = answerRun; at = w; state = CONFIRMED;
#ifdef ADOPT_REPORTED
	reported = true; granted[w] = MAX(granted[w], LONGEST)
#else
	reported = (lateStart[w] == 0)
#endif
}

hidden byte first;
hidden byte restarted;
inline receive(w) {
	first = (knownLife[w] == 0);
	restarted = !first && answerLife > knownLife[w];
	failed[w] = false;
	/* The worker has restarted: what is known of the former incarnation doesn't hold. */
	if
	:: restarted ->
		granted[w] = MAX(granted[w], MAX(anywhere[w], LONGEST));
#ifndef ACK_ANY_LIFE
		lastEnd[w] = 0;
#endif
#ifndef NO_RAISE
		raised[w]++;
#endif
		if
		:: at == w -> reported = false
		:: else -> skip
		fi
	:: else -> skip
	fi;
	knownLife[w] = answerLife;
	/* The end that it lists. A success counts whichever run it is of. */
	if
	:: answerEnd > lastEnd[w] ->
		lastEnd[w] = answerEnd;
		recorded = recorded || answerSuccess;
		if
		:: current > 0 && at == w && answerEndRun == current ->
			endCurrent()
		:: else -> skip
		fi
	:: else -> skip
	fi;
	/* The run that it lists: adopted if the holder has none, else left to end. */
	if
	:: answerRun > 0 && current == answerRun && at == w ->
		reported = reported || lateStart[w] == 0;
		if
		:: state == UNANSWERED -> state = CONFIRMED
		:: else -> skip
		fi
	:: answerRun > 0 && current == 0 && first && !recorded ->
		adopt(w)
	:: answerRun == 0 && !overtaken && CARRIED_EPOCH(w) ->
		/* It lists no run: an order to start that got no answer is taken back first. */
		if
		:: current > 0 && at == w && state == UNANSWERED -> state = STOPPING
		:: current > 0 && at == w && (state == CONFIRMED || state == STOPPED) -> endCurrent(); free[w] = NO_LATE_START(w)
		:: current > 0 && at == w -> skip
		:: else -> free[w] = free[w] || NO_LATE_START(w)
		fi
	:: else -> skip
	fi;
	if
	:: recorded && current > 0 && state != STOPPED -> state = STOPPING
	:: else -> skip
	fi;
	forgetAnswer()
}
