/* Grants of shares between two hosts (src/membership/share.hpp).
 *
 * Each host has a base share of 2 units: one that it always keeps and one that it may give away for
 * TERM ticks. Messages are lost, delayed without bound and repeated; hosts restart and forget.
 * Property: what both may use together never exceeds the total of 4.
 *
 * Variants that must be refuted:
 *   broken: NO_WAIT_AFTER_START   a restarted host uses and gives its second unit at once
 *   broken: TERM_FROM_ANSWER      the taker counts the term from the arrival of the grant
 *   broken: ANY_NONCE             a grant is taken whichever ask it answers
 *   broken: SEND_BEFORE_DEDUCT    the giver deducts a tick after it sends
 */

#define TERM 3
#define ASKS 3
#define RESTARTS 2
#define TOTAL 4

chan asks = [2] of { byte, byte };   /* asker, nonce */
chan grants = [2] of { byte, byte }; /* asker, nonce */

byte since_start[2] = TERM; /* ticks since the start, up to TERM */
byte given_left[2];         /* ticks until the unit given away is back */
byte given_nonce[2];
byte taken_left[2];         /* ticks for which the unit taken may be used */
byte ask_left[2];           /* ticks for which an answer to the ask is of use */
byte nonce[2];              /* of the last ask; a restart does not reuse it */
bool deduct_later[2];
byte restarts;

#ifdef NO_WAIT_AFTER_START
#define settled(h) true
#else
#define settled(h) (since_start[h] == TERM)
#endif

#define own(h) (1 + (settled(h) -> 1 : 0) - (given_left[h] > 0 -> 1 : 0))
#define usable(h) (own(h) + (taken_left[h] > 0 -> 1 : 0))

inline pass_tick(h)
{
    if :: deduct_later[h] -> deduct_later[h] = false; given_left[h] = TERM
       :: else -> if :: given_left[h] > 0 -> given_left[h]-- :: else fi
    fi;
    if :: since_start[h] < TERM -> since_start[h]++ :: else fi;
    if :: taken_left[h] > 0 -> taken_left[h]-- :: else fi;
    if :: ask_left[h] > 0 -> ask_left[h]-- :: else fi
}

inline send_ask(h)
{
    nonce[h]++;
    ask_left[h] = TERM;
    if :: nfull(asks) -> asks ! h, nonce[h] :: else fi
}

/* The other host answers; the same ask again gets the same grant. */
inline answer_ask(h, n)
{
    if
    :: settled(1 - h) && given_left[1 - h] == 0 && !deduct_later[1 - h] ->
#ifdef SEND_BEFORE_DEDUCT
        deduct_later[1 - h] = true;
#else
        given_left[1 - h] = TERM;
#endif
        given_nonce[1 - h] = n;
        if :: nfull(grants) -> grants ! h, n :: else fi
    :: given_left[1 - h] > 0 && given_nonce[1 - h] == n ->
        if :: nfull(grants) -> grants ! h, n :: else fi
    :: else
    fi
}

inline take_grant(h, n)
{
    if
#ifdef ANY_NONCE
    :: ask_left[h] > 0 ->
#else
    :: ask_left[h] > 0 && n == nonce[h] ->
#endif
#ifdef TERM_FROM_ANSWER
        taken_left[h] = TERM;
#else
        taken_left[h] = ask_left[h];
#endif
        ask_left[h] = 0
    :: else
    fi
}

inline restart(h)
{
    restarts++;
    since_start[h] = 0;
    given_left[h] = 0;
    given_nonce[h] = 0;
    taken_left[h] = 0;
    ask_left[h] = 0;
    deduct_later[h] = false
}

active proctype world()
{
    byte h, n;
    do
    :: d_step { pass_tick(0); pass_tick(1); h = 0; n = 0 }
    :: atomic {
        if :: h = 0 :: h = 1 fi;
        if :: ask_left[h] == 0 && taken_left[h] == 0 && nonce[h] < ASKS -> send_ask(h) :: else fi;
        h = 0
    }
    :: atomic { len(asks) > 0 -> asks ? h, n; answer_ask(h, n); h = 0; n = 0 }
    :: atomic { len(asks) > 0 -> asks ? <h, n>; answer_ask(h, n); h = 0; n = 0 } /* repeated */
    :: atomic { len(asks) > 0 -> asks ? h, n; h = 0; n = 0 }                    /* lost */
    :: atomic { len(grants) > 0 -> grants ? h, n; take_grant(h, n); h = 0; n = 0 }
    :: atomic { len(grants) > 0 -> grants ? <h, n>; take_grant(h, n); h = 0; n = 0 }
    :: atomic { len(grants) > 0 -> grants ? h, n; h = 0; n = 0 }
    :: atomic {
        restarts < RESTARTS ->
        if :: h = 0 :: h = 1 fi;
        restart(h);
        h = 0
    }
    od
}

/* Looked at between any two steps. */
active proctype watcher()
{
    end: do
    :: atomic { usable(0) + usable(1) > TOTAL -> assert(false) }
    od
}
