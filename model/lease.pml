/* The holder lease with successors: one record, the store, and three identities, of which the first holds the record.
 * All steps are alternatives of one loop. An instance that takes no step is paused or disconnected. A message that is
 * not delivered models a network partition, an outage of the store or a lost response. All clocks run at the same rate;
 * the margin that covers clock drift is not modelled. Store indexes are abstracted: fresh[k] is set while the record is
 * unchanged since k read it, so that a compare-and-swap of k can still succeed.
 *
 * Optional parts: CRASH (an instance crashes and restarts as identity 3, and identities that are not successors take
 * over after the hold time), LISTS (the holder replaces a successor by identity 3), RELEASES (graceful hand-over).
 *
 * Properties: at most one identity acts as holder at a time, and the fencing number increases with each change of the
 * holder.
 *
 * Broken variants, each of which the verifier must detect:
 *   PROMISE_IN_TAKEOVER  a successor promises while its own takeover is pending
 *   FORGET_UNKNOWN       a successor forgets a takeover whose response was lost
 *   TAKE_IN_PROMISE      a successor takes over within its own promise
 *   LATE_DEADLINE        the lease counts from the response to the renewal, not from before it was sent
 *   LATE_PROMISE         the promise counts from its response, not from before it was requested
 *   ONE_PROMISE          the promise of one successor is enough
 *   RENEW_LAPSED         a lapsed store lease is renewed instead of replaced
 *   NEW_LIST_ONLY        a holder that changes its successors asks only the new ones
 *   NO_HOLD_TIME         an identity that is not a successor does not wait for the hold time
 *   TAKE_RELEASED_IN_PROMISE  an identity takes a handed-over record within its own promise, which may be to an earlier
 *                        holder that was disconnected and has received neither the takeover nor the hand-over
 *   ACT_IN_RELEASE       a holder that hands over acts until it receives the response
 *   SAME_FENCING         a takeover keeps the fencing number
 */

#ifndef TICKS
#define TICKS 4
#endif
#define TTL 2            /* ticks a store lease is valid */
#define PROMISE 2        /* ticks a promise is valid */
#ifndef HOLD
#define HOLD 3           /* ticks a holder acts on promises alone */
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 2      /* maximum number of takeovers */
#endif

#define NOBODY 7
#define BIT(k) (1 << (k))

#if defined(CRASH) || defined(LISTS)
#define N 4
#else
#define N 3
#endif

/* Kinds of write to the record. */
#define NONE 0
#define TAKE 1           /* a successor, or another identity after the hold time, takes over */
#define REACQUIRE 2      /* the holder locks its own record again */
#define LIST 3           /* the holder changes its successors */
#define RELEASE 4        /* the holder hands over */

/* State of the record at the last read by an identity that does not hold it. */
#define NOTHING 0
#define AS_SUCCESSOR 1   /* lease lapsed, and the identity is a successor */
#define AS_STRANGER 2    /* lease lapsed, and the identity is not a successor */
#define RELEASED 3       /* handed over */

byte now;

/* The record in the store. */
byte holder = 0;
byte lock = 0;           /* identity whose store lease locks the record */
byte successors = 6;     /* bit set of identities */
byte fencing = 1;

/* The store's leases. */
bit lease[N];
byte expiry[N];

/* The local state of an identity. */
bit alive[N];
bit fresh[N];            /* the record is unchanged since the identity read it */
byte seen[N];
byte since[N];           /* when a non-successor first saw the unchanged record with a lapsed lease */
bit held[N];             /* the identity considers itself the holder */
bit locked[N];           /* the identity considers the record locked by its present store lease */
byte deadline[N];        /* of its store lease */
byte need[N];            /* bit set of the successors whose promises it needs */
byte promise[N * N];     /* promise[holder * N + successor]: end of the promise, as counted by the holder */
byte promised[N];        /* end of its own promise, as counted by the successor */
byte renewal[N];         /* 0 none, 1 sent, 2 applied by the store */
byte renewed[N];         /* time before the renewal was sent */
byte write[N];           /* kind of the unresolved write */
bit flying[N];           /* the write may still reach the store */
byte list[N];            /* successors that a LIST write sets */

#ifdef RELEASES
bit handed;              /* at most one hand-over is modelled */
#endif

/* Temporary variables. */
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

/* The record changed: a write based on an earlier read can no longer succeed. */
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

/* Resets values that have no further effect to zero. */
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

/* The store applies a write. Writes based on an earlier read are already discarded. */
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

/* An identity reads the record and resolves its own write, unless the write may still reach the store. */
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
		/* Steps of the store. */
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
			:: lease[i] -> expiry[i] = now + TTL; renewal[i] = 2 /* a response too late to have an effect counts as lost */
			:: else -> renewal[i] = 0; renewed[i] = 0; locked[i] = 0
			fi }
		:: d_step { flying[i] -> commit(i) }
		/* Responses of the store. */
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
		/* A successor promises, and the response arrives or is lost. The longer a request is in transit, the shorter the
		 * promise that the holder gets. */
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
		/* An instance crashes and restarts as another identity. */
		:: d_step { alive[i] && !alive[3] && i != 3 -> crash(i); alive[3] = 1 }
#endif
		:: else
		fi;
		i = 0;
		assert(ONE_HOLDER)
	}
	od
}
