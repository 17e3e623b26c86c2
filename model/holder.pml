/*
 * The holder of a target on the platform's store (package keeper): one entry per instance, under a lease, and one
 * record per target, without a lease. An instance claims a target whose record names an instance without an entry, in
 * one transaction, and waits a turn before its first order. A target without a record is ordered at once. Orders carry
 * the record's revision as epoch and the count of orders that the target is expected to have accepted. They may be
 * executed late.
 *
 * Properties: orders of two holders are sent at least a turn apart, and no order takes effect after one of a later
 * epoch.
 *
 * Broken variants, each of which the verifier must detect: NO_TURN (no wait after a claim), TAKE_PRESENT (the holder's
 * entry is ignored), LATE_VALID (a lease counts from the response to the renewal), SHORT_WAIT (after the store ended a
 * lease early, a claim waits only a turn), UNCOUNTED (targets do not compare the count), DELETE_EARLY (the record of a
 * departed target is deleted while the previous holder may still order: the time for which a target must be absent is
 * longer than a lease and a turn).
 */
#define INSTANCES 2
#define NOBODY INSTANCES
#define END 8
#define LEASE 3
#define TURN 1
/* Maximum number of orders per instance. */
#define ORDERS 2
/* Maximum number of claims of both instances together. */
#define CLAIMS 3

#ifdef TAKE_PRESENT
#define MAY_TAKE true
#else
#define MAY_TAKE !entry[holder]
#endif

#ifdef DELETE_EARLY
#define MAY_DELETE true
#else
#define MAY_DELETE (now >= claimedAt + LEASE + TURN && now >= lastAt + TURN)
#endif

byte now = 0;

/* The store. */
bool entry[INSTANCES] = true;
byte leaseEnd[INSTANCES] = LEASE;
byte holder = NOBODY;
byte epoch = 0;
byte revision = 0;
byte claimedAt = 0;
bool endedEarly = false;

/* The local state of each instance. */
byte validUntil[INSTANCES] = LEASE;
bool held[INSTANCES] = false;
byte mine[INSTANCES];
byte from[INSTANCES];

/* The target, and at most one order in transit per instance. */
byte count = 0;
byte newest = 0;
bool flying[INSTANCES] = false;
byte expected[INSTANCES];
byte flyingEpoch[INSTANCES];
byte sent[INSTANCES];

/* The last order sent. */
byte lastBy = NOBODY;
byte lastAt = 0;

inline claim(i, wait) {
	revision++;
	holder = i;
	epoch = revision;
	claimedAt = now;
	held[i] = true;
	mine[i] = epoch;
	from[i] = now + wait;
}

active proctype clock() {
	do
	:: atomic {
		now < END ->
		now++;
		if
		:: entry[0] && now >= leaseEnd[0] -> entry[0] = false
		:: else
		fi;
		if
		:: entry[1] && now >= leaseEnd[1] -> entry[1] = false
		:: else
		fi
	}
	:: atomic { now < END && !endedEarly && holder != NOBODY && entry[holder] ->
		/* The store ends a lease before it expires, as after an outage. */
		endedEarly = true;
		entry[holder] = false
	}
	:: atomic { now == END -> break }
	od
}

proctype instance(byte i) {
	do
	:: atomic { now < END && entry[i] && leaseEnd[i] < now + LEASE ->
		/* A renewal counts from when it is sent: the response may arrive long after the store applied it. */
		leaseEnd[i] = now + LEASE;
#ifdef LATE_VALID
		validUntil[i] = now + LEASE + TURN + 1
#else
		validUntil[i] = now + LEASE
#endif
	}
	:: atomic { now < END && holder == NOBODY && entry[i] && revision < CLAIMS -> claim(i, 0) }
	:: atomic { now < END && holder != NOBODY && holder != i && entry[i] && revision < CLAIMS && MAY_TAKE ->
		held[i] = false;
#ifdef NO_TURN
		claim(i, 0)
#else
#ifdef SHORT_WAIT
		claim(i, TURN)
#else
		if
		:: endedEarly -> claim(i, LEASE + TURN)
		:: else -> claim(i, TURN)
		fi
#endif
#endif
	}
	:: atomic { now < END && held[i] && now >= from[i] && now < validUntil[i] && !flying[i] && sent[i] < ORDERS ->
		sent[i]++;
		assert(lastBy == NOBODY || lastBy == i || now >= lastAt + TURN);
		lastBy = i;
		lastAt = now;
		flying[i] = true;
		expected[i] = count;
		flyingEpoch[i] = mine[i]
	}
	:: atomic { flying[i] ->
		flying[i] = false;
#ifndef UNCOUNTED
		if
		:: expected[i] == count ->
#endif
			assert(flyingEpoch[i] >= newest);
			newest = flyingEpoch[i];
			count++
#ifndef UNCOUNTED
		:: else
		fi
#endif
	}
	:: atomic { now < END && holder == i && held[i] && MAY_DELETE ->
		/* The target departed permanently, and may be registered again later. */
		holder = NOBODY;
		held[i] = false
	}
	:: atomic { now == END && !flying[i] -> break }
	od
}

init {
	atomic { run instance(0); run instance(1) }
}
