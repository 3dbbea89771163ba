/* Grants of shares between two hosts (src/membership/share.hpp).
 *
 * Each host has a base share of 2 units: one that it always keeps and one that it may grant to the other
 * host for TERM ticks. Messages may be lost, delayed without bound and repeated; hosts restart without
 * their state. Property: the units that both hosts may use never exceed the total of 4.
 *
 * Variants that must be refuted:
 *   broken: NO_WAIT_AFTER_START   a restarted host uses or grants its second unit at once
 *   broken: TERM_FROM_ANSWER      the receiver counts the term from the arrival of the grant
 *   broken: ANY_NONCE             a grant is accepted whichever request it answers
 *   broken: SEND_BEFORE_DEDUCT    the granting host deducts the unit a tick after it sends
 */

#define TERM 3
#define REQUESTS_MAX 3
#define RESTARTS 2
#define TOTAL 4

chan requests = [2] of { byte, byte }; /* requester, nonce */
chan grants = [2] of { byte, byte };   /* requester, nonce */

byte since_start[2] = TERM; /* ticks since the start, up to TERM */
byte granted_left[2];       /* ticks until the granted unit is returned */
byte granted_nonce[2];
byte received_left[2];      /* ticks for which the received unit may be used */
byte request_left[2];       /* ticks during which a grant for the request is accepted */
byte nonce[2];              /* of the last request; not reused after a restart */
bool deduct_later[2];
byte restarts;

#ifdef NO_WAIT_AFTER_START
#define has_waited_term(h) true
#else
#define has_waited_term(h) (since_start[h] == TERM)
#endif

#define own(h) (1 + (has_waited_term(h) -> 1 : 0) - (granted_left[h] > 0 -> 1 : 0))
#define usable(h) (own(h) + (received_left[h] > 0 -> 1 : 0))

inline pass_tick(h)
{
    if :: deduct_later[h] -> deduct_later[h] = false; granted_left[h] = TERM
       :: else -> if :: granted_left[h] > 0 -> granted_left[h]-- :: else fi
    fi;
    if :: since_start[h] < TERM -> since_start[h]++ :: else fi;
    if :: received_left[h] > 0 -> received_left[h]-- :: else fi;
    if :: request_left[h] > 0 -> request_left[h]-- :: else fi
}

inline send_request(h)
{
    nonce[h]++;
    request_left[h] = TERM;
    if :: nfull(requests) -> requests ! h, nonce[h] :: else fi
}

/* The other host answers. A repeated request gets the same grant. */
inline answer_request(h, n)
{
    if
    :: has_waited_term(1 - h) && granted_left[1 - h] == 0 && !deduct_later[1 - h] ->
#ifdef SEND_BEFORE_DEDUCT
        deduct_later[1 - h] = true;
#else
        granted_left[1 - h] = TERM;
#endif
        granted_nonce[1 - h] = n;
        if :: nfull(grants) -> grants ! h, n :: else fi
    :: granted_left[1 - h] > 0 && granted_nonce[1 - h] == n ->
        if :: nfull(grants) -> grants ! h, n :: else fi
    :: else
    fi
}

inline accept_grant(h, n)
{
    if
#ifdef ANY_NONCE
    :: request_left[h] > 0 ->
#else
    :: request_left[h] > 0 && n == nonce[h] ->
#endif
#ifdef TERM_FROM_ANSWER
        received_left[h] = TERM;
#else
        received_left[h] = request_left[h];
#endif
        request_left[h] = 0
    :: else
    fi
}

inline restart(h)
{
    restarts++;
    since_start[h] = 0;
    granted_left[h] = 0;
    granted_nonce[h] = 0;
    received_left[h] = 0;
    request_left[h] = 0;
    deduct_later[h] = false
}

active proctype hosts_and_network()
{
    byte h, n;
    do
    :: d_step { pass_tick(0); pass_tick(1); h = 0; n = 0 }
    :: atomic {
        if :: h = 0 :: h = 1 fi;
        if
        :: request_left[h] == 0 && received_left[h] == 0 && nonce[h] < REQUESTS_MAX -> send_request(h)
        :: else
        fi;
        h = 0
    }
    :: atomic { len(requests) > 0 -> requests ? h, n; answer_request(h, n); h = 0; n = 0 }
    :: atomic { len(requests) > 0 -> requests ? <h, n>; answer_request(h, n); h = 0; n = 0 } /* repeated */
    :: atomic { len(requests) > 0 -> requests ? h, n; h = 0; n = 0 }                    /* lost */
    :: atomic { len(grants) > 0 -> grants ? h, n; accept_grant(h, n); h = 0; n = 0 }
    :: atomic { len(grants) > 0 -> grants ? <h, n>; accept_grant(h, n); h = 0; n = 0 }
    :: atomic { len(grants) > 0 -> grants ? h, n; h = 0; n = 0 }
    :: atomic {
        restarts < RESTARTS ->
        if :: h = 0 :: h = 1 fi;
        restart(h);
        h = 0
    }
    od
}

/* Checked between any two steps. */
active proctype check_total()
{
    end: do
    :: atomic { usable(0) + usable(1) > TOTAL -> assert(false) }
    od
}
