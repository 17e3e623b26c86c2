/* The holder lease with successors: one record, the store, and three identities, of which the first holds the record.
 * All moves are alternatives of one loop. An instance that takes no move is paused or cut off; a message that is not
 * delivered stands for a cut, an outage of the store or a lost answer. Clocks run alike; the margin that covers their
 * drift is left out. Indexes are abstracted: fresh[k] tells that the record is unchanged since k read it, so that a
 * compare-and-swap of k can still win.
 *
 * Parts that are switched on: CRASH (an instance crashes and starts anew as identity 3, and strangers take over after
 * the hold time), LISTS (the holder replaces a successor by identity 3), RELEASES (graceful hand-over).
 *
 * Properties: never two identities that act at once, and fencing numbers go up with each change of the holder.
 *
 * Broken variants, each of which the checker must catch:
 *   PROMISE_IN_TAKEOVER  a successor promises while its own takeover is under way
 *   FORGET_UNKNOWN       a successor forgets a takeover whose answer was lost
 *   TAKE_IN_PROMISE      a successor takes over within its own promise
 *   LATE_DEADLINE        the lease counts from the answer to the renewal, not from before it was sent
 *   LATE_PROMISE         the promise counts from its answer, not from before it was asked for
 *   ONE_PROMISE          one successor's promise is enough
 *   RENEW_LAPSED         the store's lapsed lease is renewed and not replaced
 *   NEW_LIST_ONLY        a holder that changes its successors asks only the new ones
 *   NO_HOLD_TIME         an identity that is no successor does not wait for the hold time
 *   TAKE_RELEASED_IN_PROMISE  a record that was handed over is taken within one's own promise, which may be to an earlier
 *                        holder that was cut off and knows of neither the takeover nor the hand-over
 *   ACT_IN_RELEASE       a holder that hands over acts until it has the answer
 *   SAME_FENCING         a takeover keeps the fencing number
 */

#ifndef TICKS
#define TICKS 4
#endif
#define TTL 2            /* ticks that a store lease lasts */
#define PROMISE 2        /* ticks that a promise lasts */
#ifndef HOLD
#define HOLD 3           /* ticks that a holder acts on promises alone */
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 2      /* most takeovers */
#endif

#define NOBODY 7
#define BIT(k) (1 << (k))

#if defined(CRASH) || defined(LISTS)
#define N 4
#else
#define N 3
#endif

/* Kinds of write. */
#define NONE 0
#define TAKE 1           /* a successor, or a stranger after the hold time, takes over */
#define REACQUIRE 2      /* the holder locks its own record again */
#define LIST 3           /* the holder changes its successors */
#define RELEASE 4        /* the holder hands over */

/* What an identity that does not hold the record saw when it read it last. */
#define NOTHING 0
#define AS_SUCCESSOR 1   /* lapsed, and the identity is a successor */
#define AS_STRANGER 2    /* lapsed, and it is none */
#define RELEASED 3       /* handed over */

byte now;

/* The record in the store. */
byte holder = 0;
byte lock = 0;           /* identity whose store lease locks the record */
byte successors = 6;     /* bit set */
byte fencing = 1;

/* What the store knows of leases. */
bit lease[N];
byte expiry[N];

/* What an identity knows. */
bit alive[N];
bit fresh[N];            /* the record is as the identity read it */
byte seen[N];
byte since[N];           /* when a stranger first saw the lapse of the unchanged record */
bit held[N];             /* believes that it is the holder */
bit locked[N];           /* believes that its present store lease locks the record */
byte deadline[N];        /* of its store lease */
byte need[N];            /* bit set of the successors whose promises it needs */
byte promise[N * N];     /* promise[holder * N + successor]: end, as the holder counts it */
byte promised[N];        /* end of its own promise, as the successor counts it */
byte renewal[N];         /* 0 none, 1 sent, 2 done by the store */
byte renewed[N];         /* time before the renewal was sent */
byte write[N];           /* kind of the write that is not resolved */
bit flying[N];           /* the write may still reach the store */
byte list[N];            /* successors that a LIST write sets */

#ifdef RELEASES
bit handed;              /* one hand-over is enough */
#endif

/* Scratch. */
byte i;
byte j;
byte before;

#define OTHERS(k) ((k) == 0 -> 6 : ((k) == 1 -> 5 : ((k) == 2 -> 3 : 6)))
#ifdef ONE_PROMISE
#define MISSES(k, s) 0
#define ANY(k) (now < promise[(k) * N] || now < promise[(k) * N + 1] || now < promise[(k) * N + 2])
#else
#define MISSES(k, s) ((need[k] & BIT(s)) && now >= promise[(k) * N + (s)])
#define ANY(k) 1
#endif
#if N == 4
#define MISSES_ANY(k) (MISSES(k, 0) || MISSES(k, 1) || MISSES(k, 2) || MISSES(k, 3))
#define ACTS_3 (ACTS(3) && (ACTS(0) || ACTS(1) || ACTS(2)))
#else
#define MISSES_ANY(k) (MISSES(k, 0) || MISSES(k, 1) || MISSES(k, 2))
#define ACTS_3 0
#endif
#define ON_PROMISES(k) (need[k] != 0 && now < deadline[k] + HOLD && !MISSES_ANY(k) && ANY(k))
#define ACTS(k) (alive[k] && held[k] && ((locked[k] && now < deadline[k]) || ON_PROMISES(k)))
#define ONE_HOLDER (!(ACTS(0) && ACTS(1)) && !(ACTS(0) && ACTS(2)) && !(ACTS(1) && ACTS(2)) && !ACTS_3)

#ifdef TAKE_IN_PROMISE
#define AFTER_PROMISE(k) 1
#else
#define AFTER_PROMISE(k) (now >= promised[k])
#endif
#ifdef NO_HOLD_TIME
#define AFTER_HOLD(k) 1
#else
#define AFTER_HOLD(k) (now >= since[k] + HOLD)
#endif
#ifdef TAKE_RELEASED_IN_PROMISE
#define AFTER_PROMISE_IF_RELEASED(k) 1
#else
#define AFTER_PROMISE_IF_RELEASED(k) AFTER_PROMISE(k)
#endif
#define MAY_TAKE(k) (fresh[k] && ((seen[k] == RELEASED && AFTER_PROMISE_IF_RELEASED(k)) || (seen[k] == AS_SUCCESSOR && AFTER_PROMISE(k)) || (seen[k] == AS_STRANGER && AFTER_PROMISE(k) && AFTER_HOLD(k))))

#ifdef PROMISE_IN_TAKEOVER
#define MAY_PROMISE(k) (alive[k] && !held[k])
#elif defined(FORGET_UNKNOWN)
bit forgot[N];
#define MAY_PROMISE(k) (alive[k] && !held[k] && (write[k] != TAKE || forgot[k]))
#else
#define MAY_PROMISE(k) (alive[k] && !held[k] && write[k] != TAKE)
#endif

/* The record changed: no write that builds on an older read can win any more. */
inline changed() {
	j = 0;
	do
	:: j < N -> fresh[j] = 0; flying[j] = 0; seen[j] = NOTHING; since[j] = 0; j++
	:: else -> break
	od;
	j = 0
}

inline drop(k) {
	held[k] = 0; locked[k] = 0; need[k] = 0;
	j = 0;
	do
	:: j < N -> promise[k * N + j] = 0; j++
	:: else -> break
	od;
	j = 0
}

/* Values that can no longer matter become zero. */
inline forget() {
	i = 0;
	do
	:: i < N ->
		if
		:: promised[i] <= now -> promised[i] = 0
		:: else
		fi;
		if
		:: expiry[i] <= now -> expiry[i] = 0
		:: else
		fi;
		if
		:: renewed[i] + TTL <= now -> renewed[i] = 0; renewal[i] = 0
		:: else
		fi;
		if
		:: deadline[i] + HOLD <= now -> deadline[i] = 0
		:: else
		fi;
		j = 0;
		do
		:: j < N ->
			if
			:: promise[i * N + j] <= now -> promise[i * N + j] = 0
			:: else
			fi;
			j++
		:: else -> break
		od;
		i++
	:: else -> break
	od;
	i = 0; j = 0
}

/* The store takes a write; a write on an older read has been discarded by then. */
inline commit(k) {
	before = fencing;
	if
	:: !lease[k] || (lock != NOBODY && lock != k) -> flying[k] = 0
	:: else ->
		if
		:: write[k] == TAKE ->
			holder = k; lock = k; successors = OTHERS(k);
#ifndef SAME_FENCING
			fencing++;
#endif
			assert(fencing > before)
		:: write[k] == REACQUIRE -> lock = k
		:: write[k] == LIST -> successors = list[k]
		:: write[k] == RELEASE -> holder = NOBODY; lock = NOBODY
		fi;
		changed()
	fi;
	before = 0
}

/* An identity reads the record and resolves its own write, unless that may still land. */
inline read(k) {
	if
#ifdef FORGET_UNKNOWN
	:: flying[k] -> forgot[k] = 1
#else
	:: flying[k] -> skip
#endif
	:: else ->
		if
		:: write[k] == TAKE && holder == k && lock == k -> drop(k); held[k] = 1; locked[k] = 1; need[k] = successors
		:: write[k] == REACQUIRE && holder == k && lock == k -> locked[k] = 1
		:: held[k] && holder != k -> drop(k)
		:: held[k] && holder == k -> need[k] = successors; locked[k] = (locked[k] && lock == k)
		:: else
		fi;
#ifdef FORGET_UNKNOWN
		forgot[k] = 0;
#endif
		write[k] = NONE; list[k] = 0;
		if
		:: holder == NOBODY -> seen[k] = RELEASED
		:: holder != NOBODY && lock == NOBODY && !held[k] && (successors & BIT(k)) -> seen[k] = AS_SUCCESSOR
		:: holder != NOBODY && lock == NOBODY && !held[k] && !(successors & BIT(k)) ->
			if
			:: seen[k] == AS_STRANGER
			:: else -> seen[k] = AS_STRANGER; since[k] = now
			fi
		:: else
		fi;
		fresh[k] = 1
	fi
}

inline send(k, kind) {
	write[k] = kind; flying[k] = 1
}

inline crash(k) {
	drop(k);
	alive[k] = 0; seen[k] = NOTHING; since[k] = 0; renewed[k] = 0; promised[k] = 0; renewal[k] = 0; deadline[k] = 0
}

active proctype world() {
	d_step {
		alive[0] = 1; alive[1] = 1; alive[2] = 1;
		lease[0] = 1; expiry[0] = TTL; deadline[0] = TTL;
		held[0] = 1; locked[0] = 1; need[0] = 6; fresh[0] = 1
	}
	do
	:: d_step { now < TICKS -> now++; forget() }
	:: atomic {
		select(i : 0 .. N - 1);
		if
		/* The store. */
		:: d_step { lease[i] && now >= expiry[i] ->
			lease[i] = 0; expiry[i] = 0;
			if
			:: lock == i -> lock = NOBODY; changed()
			:: else
			fi }
		:: d_step { renewal[i] == 1 ->
#ifdef RENEW_LAPSED
			lease[i] = 1;
#endif
			if
			:: lease[i] -> expiry[i] = now + TTL; renewal[i] = 2 /* the answer is lost if it arrives too late to matter */
			:: else -> renewal[i] = 0; renewed[i] = 0; locked[i] = 0
			fi }
		:: d_step { flying[i] -> commit(i) }
		/* Answers. */
		:: d_step { alive[i] && renewal[i] == 2 ->
#ifdef LATE_DEADLINE
			deadline[i] = now + TTL;
#else
			deadline[i] = renewed[i] + TTL;
#endif
			renewal[i] = 0; renewed[i] = 0 }
		:: d_step { alive[i] && (!fresh[i] || write[i] != NONE) -> read(i) }
		/* Calls of an instance. */
		:: d_step { alive[i] && renewal[i] == 0 && held[i] && locked[i] -> renewal[i] = 1; renewed[i] = now }
		:: d_step { alive[i] && !lease[i] && !locked[i] && renewal[i] == 0 && (held[i] || MAY_TAKE(i)) ->
			lease[i] = 1; expiry[i] = now + TTL;
			if
			:: !held[i] -> deadline[i] = now + TTL
			:: else
			fi }
		:: d_step { alive[i] && write[i] == NONE && !held[i] && lease[i] && MAY_TAKE(i) && fencing <= TAKEOVERS -> send(i, TAKE) }
		:: d_step { alive[i] && write[i] == NONE && held[i] && !locked[i] && lease[i] && fresh[i] -> send(i, REACQUIRE) }
#ifdef LISTS
		:: d_step { alive[i] && write[i] == NONE && held[i] && locked[i] && fresh[i] && need[i] == 6 && i == 0 ->
			alive[3] = 1; list[i] = BIT(1) | BIT(3);
#ifdef NEW_LIST_ONLY
			need[i] = list[i];
#else
			need[i] = need[i] | list[i];
#endif
			send(i, LIST) }
#endif
#ifdef RELEASES
		:: d_step { alive[i] && write[i] == NONE && held[i] && locked[i] && fresh[i] && !handed ->
			handed = 1;
#ifndef ACT_IN_RELEASE
			drop(i);
#endif
			send(i, RELEASE) }
#endif
		/* A successor promises, and the answer arrives or is lost. A request on its way for longer gives the holder less. */
		:: atomic { alive[i] && held[i] && need[i] != 0 ->
			select(j : 0 .. N - 1);
			if
			:: d_step { (need[i] & BIT(j)) && MAY_PROMISE(j) -> promised[j] = now + PROMISE;
#ifdef LATE_PROMISE
				promise[i * N + j] = now + 1 + PROMISE
#else
				promise[i * N + j] = now + PROMISE
#endif
				}
			:: d_step { (need[i] & BIT(j)) && MAY_PROMISE(j) -> promised[j] = now + PROMISE }
			:: else
			fi;
			j = 0 }
#ifdef CRASH
		/* An instance crashes and starts anew as another identity. */
		:: d_step { alive[i] && !alive[3] && i != 3 -> crash(i); alive[3] = 1 }
#endif
		:: else
		fi;
		i = 0;
		assert(ONE_HOLDER)
	}
	od
}
