/* The claim of a request that may not be repeated: three calls with one key, each at a different instance, over a store
 * that loses responses, applies writes late, and is unavailable at times. Properties: the request is sent at most once;
 * a call that was refused as not run never sends the request; a stored answer is the answer of the single run.
 *
 * A call that takes no more steps models a crashed or paused instance. Broken variants, each of which Spin must detect:
 *   UNKNOWN_IS_WON    a write whose response was lost counts as won without reading the record back
 *   NO_CONDITION      the claim overwrites an existing record
 *   REPEAT_IF_GONE    a call that finds a claim without an outcome sends the request itself
 *   RELEASE_ANY       a release deletes a claim of any call
 *   RELEASE_WON       a call that won, and may have sent the request, releases its claim
 *   REFUSED_THEN_SENT a call sends the request after it was refused
 */

#define CALLS 3
#define NONE 0

/* The record: the nonce of the claiming call, and whether its answer is stored. */
byte nonce;
bool stored;
byte answer;

byte sent;
byte sentBy;
bool refused[CALLS + 1];
/* Writes that a call sent and that may still arrive at the store. */
bool lateClaim[CALLS + 1];
bool lateRelease[CALLS + 1];
bool lateFinish[CALLS + 1];

inline applyClaim(n) {
#ifdef NO_CONDITION
  nonce = n; stored = false
#else
  if
  :: nonce == NONE -> nonce = n; stored = false
  :: else
  fi
#endif
}

inline applyRelease(n) {
#ifdef RELEASE_ANY
  nonce = NONE; stored = false
#else
  if
  :: nonce == n && !stored -> nonce = NONE
  :: else
  fi
#endif
}

inline applyFinish(n) {
  if
  :: nonce == n && !stored -> stored = true; answer = n
  :: else
  fi
}

inline send(n) {
  assert(!refused[n]);
  sent++;
  sentBy = n;
  assert(sent <= 1)
}

/* One call with the key. The number of the call is its nonce. */
proctype call(byte n) {
  bool known;
  bool unsure;
claim:
  known = false;
  if
  /* The write and its response arrive. */
  :: atomic { known = true; applyClaim(n) }
  /* The write arrives, and its response is lost. */
  :: atomic { unsure = true; applyClaim(n) }
  /* The write may arrive later. */
  :: lateClaim[n] = true; unsure = true
  /* The store is unavailable. */
  :: skip
  fi;
#ifdef UNKNOWN_IS_WON
  if :: unsure -> goto won :: else fi;
#endif
  if
  :: atomic { nonce == n -> goto won }
  :: atomic { nonce != NONE && nonce != n -> goto lost }
  :: atomic { nonce == NONE && !known -> goto claim }
  /* The store remains unavailable past the deadline. */
  :: !known -> goto giveUp
  fi;
won:
  if
  :: send(n)
#ifdef RELEASE_WON
  :: send(n); goto giveUp
#endif
  /* The request could not be sent: the claim is released. */
  :: goto giveUp
  fi;
  if
  :: lateFinish[n] = true /* may also arrive at once */
  :: skip
  fi;
  goto end;
giveUp:
  refused[n] = true;
  lateRelease[n] = true;
#ifdef REFUSED_THEN_SENT
  if :: nonce == n -> send(n) :: else fi;
#endif
  goto end;
lost:
  atomic {
    if
    :: stored -> assert(sent == 1 && answer == sentBy)
#ifdef REPEAT_IF_GONE
    :: !stored && nonce != NONE -> send(n)
#endif
    :: else /* running, or outcome unknown: the request is not repeated */
    fi
  };
end:
  skip
}

/* Writes in transit arrive at any time, in any order, or never. */
active proctype network() {
  byte n;
end:
  do
  :: atomic { n < CALLS -> n++ }
  :: atomic { n > 1 -> n-- }
  :: atomic { lateClaim[n] -> lateClaim[n] = false; applyClaim(n) }
  :: atomic { lateRelease[n] -> lateRelease[n] = false; applyRelease(n) }
  :: atomic { lateFinish[n] -> lateFinish[n] = false; applyFinish(n) }
  od
}

init {
  atomic { run call(1); run call(2); run call(3) }
}
