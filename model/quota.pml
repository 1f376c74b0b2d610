/*
 * How the parts of an account's cap move between the holders of two pools.
 *
 * Each pool has a row with its part, which only its holder writes. A transaction with a
 * larger part is also conditional on the growth row, which it replaces. A transaction's
 * answer may be lost, and the transaction applied later. Pool 0 changes its holder at any
 * time; the next one writes its epoch into the row before it starts anything. A holder reads
 * the rows of both pools at any time, so what it knows of the other pool may be old. An order
 * to start may get no answer and be carried out later. The cap is lowered once; the holders
 * learn of that one after the other. It is in force once both have read the rows since then;
 * a holder does so more than once a second.
 *
 * Property: no order to start brings what runs in both pools above the cap, or above the old
 * one while the lowered one isn't in force. Each mutant omits one guard; check.sh lists them.
 */
#define CAP 3
#define LOWERED 1
#ifndef WRITES
#define WRITES 6          /* transactions that are sent */
#endif
#ifndef STARTS
#define STARTS 4          /* orders to start that are sent */
#endif

/* The store: each pool's part, the epoch of its row and the row's version, and the version of
 * the growth row. */
byte part[2];
byte rowEpoch[2];
byte version[2];
byte growth;

/* A holder: its epoch; whether its epoch is in the row; what it knows of its row, of the other
 * pool's part and of the growth row; the lowest part of the transactions without a result,
 * NONE for none; the cap that it uses; and what it counts as running. */
#define NONE 255
byte epoch[2];
bool begun[2];
byte known[2];
byte knownVersion[2];
byte others[2];
byte knownGrowth[2];
byte lowest[2];
byte cap[2];
byte counted[2];

/* The transaction of each pool that may be applied: whether there is one, its part, and the
 * versions that are its conditions; grows is true if the growth row is one. waiting is true
 * while its holder waits for the answer. */
bool pending[2];
bool waiting[2];
byte newPart[2];
byte newEpoch[2];
byte ifVersion[2];
byte ifGrowth[2];
bool grows[2];

/* What runs at the workers of each pool, and the orders that may still be carried out. */
byte running[2];
byte late[2];

byte sent = 0;
byte started = 0;
bool lowered = false;
bool settled[2];          /* the rows were read after both holders had learned of the cap */

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define SUB(a, b) ((a) > (b) -> (a) - (b) : 0)
#define HIGHEST (settled[0] && settled[1] -> LOWERED : CAP)

/* The cap in the decisions of pool p. */
#ifdef LOWERED_IN_ONE_POOL
#define USED(p) (p == 1 -> CAP : cap[p])
#else
#define USED(p) cap[p]
#endif

/* What the account may use in pool p: quota.Stored.Allowance. */
#define OWN(p) MIN(known[p], lowest[p])
#define OVER(p) (known[p] + others[p] > USED(p))
#ifdef NO_CEILING
#define ALLOWED(p) OWN(p)
#else
#define ALLOWED(p) (OVER(p) -> MIN(OWN(p), SUB(USED(p), others[p])) : OWN(p))
#endif

/* An order counts from when it is sent, also where it is carried out later. */
inline check() { assert(running[0] + late[0] + running[1] + late[1] <= HIGHEST) }

/* The holder reads the rows of both pools. */
inline read(p) {
  if
  :: version[p] > knownVersion[p] && rowEpoch[p] == epoch[p] ->
    known[p] = part[p]; knownVersion[p] = version[p]; begun[p] = true;
    lowest[p] = NONE; waiting[p] = false
  :: version[p] > knownVersion[p] && rowEpoch[p] < epoch[p] ->
    known[p] = part[p]; knownVersion[p] = version[p]
  :: version[p] > knownVersion[p] && rowEpoch[p] > epoch[p] -> begun[p] = false
  :: else
  fi;
  others[p] = part[1 - p];
  knownGrowth[p] = growth;
  settled[p] = cap[0] == LOWERED && cap[1] == LOWERED
}

/* The holder sends a transaction with a part; before its epoch is in the row, with the part
 * that the row has. */
inline send(p, target) {
  sent++;
  pending[p] = true; waiting[p] = true;
  newPart[p] = target; newEpoch[p] = epoch[p];
  ifVersion[p] = knownVersion[p]; ifGrowth[p] = knownGrowth[p];
#ifdef GROWTH_UNCONDITIONAL
  grows[p] = false;
#else
  grows[p] = target > known[p];
#endif
#ifdef GROW_BEFORE_SHRINK
  skip
#else
  lowest[p] = MIN(MIN(lowest[p], known[p]), target)
#endif
}

/* The store applies the transaction if its conditions hold. The answer reaches the holder, or
 * is lost. */
inline apply(p) {
  if
  :: ifVersion[p] == version[p] && (!grows[p] || ifGrowth[p] == growth) ->
    part[p] = newPart[p]; rowEpoch[p] = newEpoch[p]; version[p]++;
    if
    :: grows[p] -> growth++
    :: else
    fi;
    if
    :: waiting[p] && newEpoch[p] == epoch[p] ->
      known[p] = newPart[p]; knownVersion[p] = version[p]; begun[p] = true; lowest[p] = NONE;
      if
      :: grows[p] -> knownGrowth[p] = growth
      :: else
      fi
    :: true                               /* the answer is lost */
    fi
  :: else ->
    if
    :: waiting[p] && newEpoch[p] == epoch[p] && ifVersion[p] == version[p] -> lowest[p] = NONE
    :: else
    fi
  fi;
  pending[p] = false; waiting[p] = false;
  newPart[p] = 0; newEpoch[p] = 0; ifVersion[p] = 0; ifGrowth[p] = 0; grows[p] = false
}

proctype holder(byte p) {
  byte target;
  do
  :: atomic { read(p) }
  :: atomic { sent < WRITES && !pending[p] && !begun[p] && rowEpoch[p] <= epoch[p] -> send(p, known[p]) }
  :: atomic { sent < WRITES && !pending[p] && begun[p] ->
       select(target: 0 .. CAP);
       if
       :: target < known[p] && target >= counted[p] -> send(p, target)
       :: target > known[p] && target + others[p] <= USED(p) -> send(p, target)
       :: else
       fi;
       target = 0 }
  :: atomic { pending[p] -> apply(p) }
  :: atomic { waiting[p] ->               /* the answer is lost; it may be applied later */
       waiting[p] = false;
#ifdef LOST_IS_REFUSED
       lowest[p] = NONE
#endif
     }
  :: atomic { begun[p] && started < STARTS && counted[p] < ALLOWED(p) ->
       started++;
       if
       :: running[p]++; counted[p]++
       :: late[p]++;                      /* no answer: it may be carried out later */
#ifndef UNANSWERED_NOT_COUNTED
          counted[p]++
#endif
       fi;
       check() }
  :: atomic { late[p] > 0 -> late[p]--; running[p]++ }
  :: atomic { running[p] > 0 && counted[p] > 0 -> running[p]--; counted[p]-- }
  :: atomic { p == 0 && epoch[p] < 2 ->   /* another entry takes the pool over */
       epoch[p]++; waiting[p] = false; lowest[p] = NONE;
       counted[p] = running[p] + late[p];
       known[p] = 0; knownVersion[p] = 0; others[p] = 0; knownGrowth[p] = 0;
#ifdef START_BEFORE_READ
       known[p] = USED(p); begun[p] = true
#else
       begun[p] = false
#endif
#ifdef KEEP_OLD_WRITES
       known[p] = part[p]; knownVersion[p] = version[p]; others[p] = part[1 - p]; knownGrowth[p] = growth; begun[p] = true
#endif
     }
  :: atomic { lowered && cap[p] == CAP ->
       cap[p] = LOWERED }
  od
}

init {
  atomic {
    epoch[0] = 1; epoch[1] = 1;
    lowest[0] = NONE; lowest[1] = NONE;
    cap[0] = CAP; cap[1] = CAP;
    run holder(0); run holder(1)
  };
  lowered = true
}
