/* The rate split: a home bucket that moves between two instances and lends to a floor instance, which spends loans and
 * its own floor bucket. Property: the tokens spent never exceed what one exact bucket of the summed rate and burst
 * would grant, in any window.
 *
 * Time is a few ticks. A loan may be spent in the tick in which it was requested and in the next two. A step that is
 * not taken models a pause, a lost message, a network partition or an outage. Broken variants, each of which Spin must
 * detect:
 *   TAKEOVER_FULL         a bucket taken over without hand-over starts full
 *   TAKEOVER_FILLS        a bucket taken over without hand-over starts empty, but fills while loans of the former
 *                         holder may be spent
 *   HAND_OVER_FILLS       a bucket that waits before filling is handed over without the wait
 *   LOANS_UNCOUNTED       a holder fills its bucket without counting loans that may be unspent
 *   LOAN_NEVER_EXPIRES    a borrower spends a loan after its validity has ended
 *   VALID_FROM_ARRIVAL    a borrower counts a loan's validity from its arrival
 *   HAND_OVER_KEEPS       a holder continues to lend after it handed over
 *   HOLDER_IGNORES_LEASE  a holder that was paused past its deadline lends
 *   LATE_RETURN           a holder accepts the return of a loan that it no longer counts
 *   ANSWER_TWICE          a borrower adds the tokens of a repeated response again
 */

#define TICKS 5
#define HOME_BURST 2
#define FLOOR_BURST 1
#define LEASE 1
#define NOBODY 2

#define min(a, b) ((a) < (b) -> (a) : (b))

byte now;

/* Tokens in one exact bucket of the summed rate and burst. */
short exact = HOME_BURST + FLOOR_BURST;

/* The holder record in the store, and the last tick in which its holder may act. */
byte holder = 0;
byte until = LEASE;

/* The home bucket at each of the two instances: its tokens, and the tokens lent in this tick, the previous one, and the
 * one before. */
byte level[2];
byte lentNow[2];
byte lentLast[2];
byte lentOld[2];
bool acting[2];
/* Ticks an instance waits before its bucket fills. */
byte waits[2];
byte ownUntil[2];

/* The floor instance: its floor bucket, and loans requested in this tick, the previous one, and the one before. */
byte floorLevel = FLOOR_BURST;
byte loanNow;
byte loanLast;
byte loanOld;

/* At most one request for tokens at a time, its age in ticks, and its response. */
bool asked;
byte askedAge;
bool answered;
byte answerTokens;
bool applied;

/* At most one return of an unspent loan at a time, with the age of the loan in ticks. */
byte returning;
byte returnAge;
byte returnTo = NOBODY;
byte loanFrom = NOBODY;

inline spend() {
  exact--;
  assert(exact >= 0)
}

#define lent(i) (lentNow[i] + lentLast[i] + lentOld[i])

inline fill(i) {
  if
  :: waits[i] > 0 -> waits[i]--
  :: else ->
#ifdef LOANS_UNCOUNTED
    level[i] = min(HOME_BURST, level[i] + 1)
#else
    if
    :: level[i] + lent(i) < HOME_BURST -> level[i]++
    :: else
    fi
#endif
  fi
}

inline age(i) {
  lentOld[i] = lentLast[i];
  lentLast[i] = lentNow[i];
  lentNow[i] = 0
}

inline tick() {
  now++;
  exact = min(HOME_BURST + FLOOR_BURST, exact + 2);
  age(0); age(1);
  fill(0); fill(1);
  floorLevel = min(FLOOR_BURST, floorLevel + 1);
#ifdef LOAN_NEVER_EXPIRES
  loanOld = loanOld + loanLast;
#else
  loanOld = loanLast;
#endif
  loanLast = loanNow;
  loanNow = 0;
  if :: asked && askedAge < 3 -> askedAge++ :: else fi;
  if :: returning > 0 && returnAge < 3 -> returnAge++ :: else fi
}

inline receive() {
#ifdef VALID_FROM_ARRIVAL
  loanNow = loanNow + answerTokens;
#else
  if
  :: askedAge == 0 -> loanNow = loanNow + answerTokens
  :: askedAge == 1 -> loanLast = loanLast + answerTokens
  :: askedAge == 2 -> loanOld = loanOld + answerTokens
  :: else /* too late: the tokens are lost */
  fi;
#endif
  applied = true
}

inline takeOver(i) {
  holder = i;
  until = now + LEASE;
  ownUntil[i] = until;
  acting[i] = true;
  lentNow[i] = 0; lentLast[i] = 0; lentOld[i] = 0;
#ifdef TAKEOVER_FULL
  level[i] = HOME_BURST;
#else
  level[i] = 0;
#endif
#ifdef TAKEOVER_FILLS
  waits[i] = 0
#else
  waits[i] = 2
#endif
}

inline handOver(i) {
  holder = 1 - i;
  until = now + LEASE;
  ownUntil[1 - i] = until;
  acting[1 - i] = true;
  level[1 - i] = level[i];
  lentNow[1 - i] = lent(i);
  lentLast[1 - i] = 0; lentOld[1 - i] = 0;
#ifdef HAND_OVER_FILLS
  waits[1 - i] = 0;
#else
  waits[1 - i] = waits[i];
#endif
#ifndef HAND_OVER_KEEPS
  acting[i] = false;
  level[i] = 0; lentNow[i] = 0; lentLast[i] = 0; lentOld[i] = 0
#endif
}

#ifdef HOLDER_IGNORES_LEASE
#define mayAct(i) (acting[i])
#else
#define mayAct(i) (acting[i] && now <= ownUntil[i])
#endif

inline homeSteps(i) {
  if
  /* Renew. */
  :: holder == i && acting[i] && now <= until -> until = now + LEASE; ownUntil[i] = until
  /* Crash: the bucket is lost, the record stays. */
  :: acting[i] -> acting[i] = false; level[i] = 0; lentNow[i] = 0; lentLast[i] = 0; lentOld[i] = 0
  :: holder != i && now > until -> takeOver(i)
  :: holder == i && acting[i] && now <= until && !acting[1 - i] -> handOver(i)
  /* Lend all tokens. */
  :: asked && !answered && mayAct(i) && level[i] > 0 ->
    answerTokens = level[i]; lentNow[i] = lentNow[i] + level[i]; level[i] = 0;
    answered = true; applied = false; loanFrom = i
  /* Accept a return. */
  :: returning > 0 && returnTo == i && mayAct(i) ->
    if
#ifdef LATE_RETURN
    :: level[i] + lent(i) < HOME_BURST -> level[i]++
#endif
    :: returnAge == 0 && lentNow[i] > 0 -> lentNow[i]--; level[i]++
    :: returnAge == 1 && lentLast[i] > 0 -> lentLast[i]--; level[i]++
    :: returnAge == 2 && lentOld[i] > 0 -> lentOld[i]--; level[i]++
    :: else
    fi;
    returning = 0; returnTo = NOBODY
  fi
}

inline floorSteps() {
  if
  :: !asked -> asked = true; askedAge = 0; answered = false; applied = false
  /* The request is abandoned, or its response is lost. */
  :: asked -> asked = false; answered = false; answerTokens = 0
#ifdef ANSWER_TWICE
  :: asked && answered -> receive()
#else
  :: asked && answered && !applied -> receive()
#endif
  :: floorLevel > 0 -> floorLevel--; spend()
  :: loanNow > 0 -> loanNow--; spend()
  :: loanLast > 0 -> loanLast--; spend()
  :: loanOld > 0 -> loanOld--; spend()
  /* Return an unspent token. */
  :: loanNow > 0 && returning == 0 && askedAge == 0 -> loanNow--; returning = 1; returnAge = 0; returnTo = loanFrom
  :: floorLevel > 0 -> floorLevel = 0 /* crash */
  fi
}

active proctype system() {
  atomic {
    level[0] = HOME_BURST; acting[0] = true; ownUntil[0] = LEASE
  };
  do
  :: now < TICKS -> atomic { tick() }
  :: atomic { homeSteps(0) }
  :: atomic { homeSteps(1) }
  :: atomic { floorSteps() }
  :: now == TICKS -> break
  od
}
