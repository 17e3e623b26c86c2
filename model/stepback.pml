/*
 * The holder of a target after a store rollback, in which the platform's store comes back from an older copy (package
 * keeper). Leases and records written since the copy are lost, and revisions are assigned again. An instance learns of
 * the new era with its next call. It continues to order targets that it held for as long as its lease would have
 * lasted, under the old record until the store confirms it. A claim of a target whose record is not of the new era waits
 * for a lease and a turn.
 *
 * Properties: orders of two holders are sent at least a turn apart, and epochs (era and revision) never decrease.
 *
 * Broken variants, each of which the verifier must detect: NO_WAIT (a claim in the new era waits as in the old one),
 * SHORT_WAIT (a claim in the new era waits for a lease only), KEEP_LAPSED (an instance whose lease expired before it
 * learns of the era resumes holding its targets), NO_ERA (epochs are revisions only), KEEP_UNCONFIRMED (a target that
 * the store does not confirm remains held under the new lease).
 */
#define INSTANCES 2
#define NOBODY INSTANCES
#define END 8
#define LEASE 2
#define TURN 2
/* Ticks a target remains held without confirmation by the store. */
#define CONFIRM 1
#define CLAIMS 3

#ifdef NO_WAIT
#define NEW_ERA_WAIT TURN
#define FIRST_WAIT 0
#else
#ifdef SHORT_WAIT
#define NEW_ERA_WAIT LEASE
#define FIRST_WAIT LEASE
#else
#define NEW_ERA_WAIT (LEASE + TURN)
#define FIRST_WAIT (LEASE + TURN)
#endif
#endif

#ifdef KEEP_UNCONFIRMED
#define CONFIRMED true
#else
#define CONFIRMED (mineEra[i] == known[i] || now < learnedAt[i] + CONFIRM)
#endif

byte now = 0;

/* The store, and the copy from which it may be restored. */
byte era = 0;
byte revision = 0;
byte holder = NOBODY;
byte epoch = 0;
byte recordEra = 0;
bool entry[INSTANCES] = true;
byte leaseEnd[INSTANCES] = LEASE;
bool copied = false;
byte copyRevision = 0;
byte copyHolder = NOBODY;
byte copyEpoch = 0;
byte claims = 0;

/* The local state of each instance. */
byte known[INSTANCES] = 0;
byte learnedAt[INSTANCES] = 0;
byte validUntil[INSTANCES] = LEASE;
bool held[INSTANCES] = false;
byte mine[INSTANCES];
byte mineEra[INSTANCES];
byte from[INSTANCES];

/* The last order sent. */
byte lastBy = NOBODY;
byte lastAt = 0;
byte lastEpoch = 0;
byte lastEra = 0;

inline claim(i, wait) {
	revision++;
	claims++;
	holder = i;
	epoch = revision;
	recordEra = era;
	held[i] = true;
	mine[i] = epoch;
	mineEra[i] = era;
	from[i] = now + wait;
}

inline learn(i) {
	known[i] = era;
	learnedAt[i] = now;
#ifndef KEEP_LAPSED
	if
	:: now >= validUntil[i] -> held[i] = false
	:: else
	fi
#endif
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
	:: atomic { now < END && !copied && era == 0 ->
		copied = true;
		copyRevision = revision;
		copyHolder = holder;
		copyEpoch = epoch
	}
	:: atomic { now < END && copied && era == 0 ->
		era = 1;
		revision = copyRevision;
		holder = copyHolder;
		epoch = copyEpoch;
		entry[0] = false;
		entry[1] = false
	}
	:: atomic { now == END -> break }
	od
}

proctype instance(byte i) {
	do
	:: atomic { now < END && known[i] == era && entry[i] && leaseEnd[i] < now + LEASE ->
		leaseEnd[i] = now + LEASE;
		validUntil[i] = now + LEASE
	}
	/* A call reports the new era, and the instance registers again. */
	:: atomic { now < END && !entry[i] && (known[i] != era || now >= validUntil[i] || era == 1) ->
		if
		:: known[i] != era -> learn(i)
		:: else
		fi;
		entry[i] = true;
		leaseEnd[i] = now + LEASE;
		validUntil[i] = now + LEASE;
		if
		:: held[i] && holder == i -> mine[i] = epoch; mineEra[i] = era
		:: held[i] && holder != i && era == known[i] && mineEra[i] == era -> held[i] = false
		:: else
		fi
	}
	/* A target that the store does not confirm is eventually dropped. */
	:: atomic { now < END && held[i] && mineEra[i] < known[i] && holder != i -> held[i] = false }
	:: atomic { now < END && entry[i] && known[i] == era && holder == NOBODY && !held[i] && claims < CLAIMS ->
		if
		:: era == 1 -> claim(i, FIRST_WAIT)
		:: else -> claim(i, 0)
		fi
	}
	:: atomic { now < END && entry[i] && known[i] == era && holder == i && !held[i] && claims < CLAIMS ->
		if
		:: recordEra < era -> claim(i, NEW_ERA_WAIT)
		:: else -> claim(i, 0)
		fi
	}
	:: atomic { now < END && entry[i] && known[i] == era && holder != NOBODY && holder != i && !entry[holder] && !held[i] && claims < CLAIMS ->
		if
		:: recordEra < era -> claim(i, NEW_ERA_WAIT)
		:: else -> claim(i, TURN)
		fi
	}
	:: atomic { now < END && held[i] && now >= from[i] && now < validUntil[i] && CONFIRMED ->
		assert(lastBy == NOBODY || lastBy == i || now >= lastAt + TURN);
#ifdef NO_ERA
		assert(mine[i] >= lastEpoch);
#else
		assert(mineEra[i] > lastEra || mineEra[i] == lastEra && mine[i] >= lastEpoch);
#endif
		lastBy = i;
		lastAt = now;
		lastEpoch = mine[i];
		lastEra = mineEra[i]
	}
	:: atomic { now == END -> break }
	od
}

init {
	atomic { run instance(0); run instance(1) }
}
