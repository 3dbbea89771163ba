/* One non-repeatable request, sent up to three times by its caller through entry hosts.
 *
 * With an Idempotency-Key the caller may send again at any time, even while an earlier send is still
 * in progress. Without one it sends again only after a `not-run` answer. Each send is served by a host
 * that may crash at any step. A host serves a keyed send only after it has created the key's record
 * in the object API; the record names the send. If the answer to a create is lost, the host reads the
 * record to learn the outcome.
 *
 * The object API may answer, lose the request or the answer, apply the write later, or be down. A
 * connection to an upstream may be refused, break, or stop responding; what was sent on it may still
 * run after the host has given up.
 *
 * Properties, as assertions: the request runs at most once, and a send that ran or runs later is never
 * reported as `not-run`.
 *
 * Variants that must be refuted:
 *   broken: RETRY_AFTER_BREAK        sends again after a connection broke with bytes sent
 *   broken: HEDGE                    hedges the non-repeatable request
 *   broken: NOT_RUN_AT_DEADLINE      reports not-run at a deadline after bytes were sent
 *   broken: SEND_WITHOUT_RECORD      sends without a record when the object API is down
 *   broken: ABSENT_IS_FREE           after a lost create, sends if the record does not exist yet
 *   broken: ASSUME_OWN               after a lost create, treats any record as its own
 *   broken: RELEASE_AT_BREAK         removes the record when the outcome is unknown
 *   broken: RECORD_EXPIRES           the record is removed while a send may be in progress
 * Variants that must be refuted to show that the model reaches the states in question:
 *   broken: NEVER_RUNS               claims that the request never runs
 *   broken: NEVER_REFUSED            claims that not-run is never reported
 *   broken: LAST_NEVER_RUNS          claims that the caller's last send never runs
 */

#define SENDS 3
#define ATTEMPTS 2
#define NO_SEND 255

mtype = { none, answered, not_run, unknown }       /* outcome reported to a caller */
mtype = { created, exists, lost, down }            /* result of a create */
mtype = { reply_done, reply_shed }                 /* answer of an upstream */

bool keyed;                  /* carries an Idempotency-Key */
byte record = NO_SEND;       /* the send that the key's record names */
bool late_create[SENDS];     /* a create in transit that no host waits for */
bool late_remove[SENDS];

byte runs;                   /* of the request, over all sends */
bool ran[SENDS];
mtype reported[SENDS] = none;

chan wire = [4] of { byte, byte };                 /* send, attempt: bytes that left a host */
chan reply[SENDS] = [ATTEMPTS] of { mtype, byte }; /* answer, attempt */

inline report(send, what)
{
    d_step {
        reported[send] = what;
        assert(!(what == not_run && ran[send]));
#ifdef NEVER_REFUSED
        assert(what != not_run);
#endif
    }
}

/* Creates the record for `send`; ends as created, exists, lost or down. */
inline create_record(send, end)
{
    atomic {
        if
        :: record == NO_SEND -> record = send; end = created
        :: record == send -> end = created
        :: record != NO_SEND && record != send -> end = exists
        :: record == NO_SEND -> record = send; end = lost     /* the answer is lost */
        :: true -> end = lost                                 /* the call is lost */
        :: true -> late_create[send] = true; end = lost       /* the call is delayed */
        :: true -> end = down
        fi
    }
}

/* Removes the record if it names `send`; whether it worked does not matter. */
inline remove_record(send)
{
    atomic {
        if
        :: record == send -> record = NO_SEND
        :: record != send
        :: true
        :: true -> late_remove[send] = true
        fi
    }
}

/* Tries to create the key's record for this send; sets `owns`. */
inline acquire_key(send)
{
    create_record(send, end);
    do
    :: end == created -> owns = true; break
    :: end == exists -> report(send, unknown); break     /* another send may have run */
    :: end == down ->
#ifdef SEND_WITHOUT_RECORD
        owns = true;
#else
        report(send, not_run);
#endif
        break
    :: end == lost ->
        if                                               /* learn the outcome by reading */
        :: record == send -> owns = true; break
#ifdef ASSUME_OWN
        :: record != NO_SEND -> owns = true; break
#else
        :: record != NO_SEND && record != send -> report(send, unknown); break
#endif
#ifdef ABSENT_IS_FREE
        :: record == NO_SEND -> owns = true; break
#else
        :: record == NO_SEND -> create_record(send, end)  /* the same record, so it may arrive twice */
#endif
        :: true -> report(send, not_run); break          /* down: nothing was sent */
        fi
    od
}

/* Sends the request to upstreams until one answers or no further attempt is allowed. */
inline dispatch(send)
{
    do
    :: !sent && attempt == ATTEMPTS ->                   /* no attempt can have run */
        if
        :: keyed -> remove_record(send)
        :: else
        fi;
        report(send, not_run); break
    :: !sent && attempt < ATTEMPTS -> attempt++          /* the connection could not be opened */
    :: !sent && attempt < ATTEMPTS -> wire ! send, attempt; sent = true
    :: sent && reply[send] ?? [reply_done, eval(attempt)] ->
        reply[send] ?? reply_done, eval(attempt);
        report(send, answered); break
    :: sent && reply[send] ?? [reply_shed, eval(attempt)] ->
        reply[send] ?? reply_shed, eval(attempt);
        sent = false; attempt++
    :: sent ->                                           /* the connection breaks */
#ifdef RETRY_AFTER_BREAK
        if
        :: attempt + 1 < ATTEMPTS -> attempt++; sent = false
        :: else -> report(send, unknown); break
        fi
#else
#ifdef RELEASE_AT_BREAK
        remove_record(send);
#endif
        report(send, unknown); break
#endif
    :: sent ->                                           /* deadline, or the caller disconnects */
#ifdef NOT_RUN_AT_DEADLINE
        report(send, not_run);
#else
        report(send, unknown);
#endif
        break
#ifdef HEDGE
    :: sent && attempt + 1 < ATTEMPTS -> attempt++; wire ! send, attempt
#endif
    :: break                                             /* the host crashes */
    od
}

/* An entry host serving one send. */
proctype host(byte send)
{
    byte attempt = 0;
    bool sent = false;
    bool owns = false;
    mtype end = lost;

    if
    :: keyed -> acquire_key(send)
    :: !keyed -> owns = true
    :: true                                              /* the host crashes */
    fi;
    if
    :: owns -> dispatch(send)
    :: else
    fi
}

/* The upstreams: run, shed or never receive what was sent; the answer may be lost. */
active proctype upstreams()
{
    byte send;
    byte attempt;
end_idle:
    do
    :: wire ? send, attempt ->
        if
        :: true ->
            d_step {
                runs++;
                ran[send] = true;
                assert(runs <= 1);
                assert(reported[send] != not_run);
#ifdef NEVER_RUNS
                assert(false);
#endif
#ifdef LAST_NEVER_RUNS
                assert(send != SENDS - 1);
#endif
            };
            if
            :: reply[send] ! reply_done, attempt
            :: true
            fi
        :: reply[send] ! reply_shed, attempt
        :: true                                          /* lost on a connection that stopped responding */
        fi
    od
}

/* The object API applies delayed writes. */
active proctype late_writes()
{
    byte send;
end_idle:
    do
    :: atomic { late_create[0] -> late_create[0] = false; send = 0; goto create }
    :: atomic { late_create[1] -> late_create[1] = false; send = 1; goto create }
    :: atomic { late_create[2] -> late_create[2] = false; send = 2; goto create }
    :: atomic { late_remove[0] -> late_remove[0] = false; send = 0; goto remove }
    :: atomic { late_remove[1] -> late_remove[1] = false; send = 1; goto remove }
    :: atomic { late_remove[2] -> late_remove[2] = false; send = 2; goto remove }
#ifdef RECORD_EXPIRES
    :: record != NO_SEND -> record = NO_SEND
#endif
    od;
create:
    atomic {
        if
        :: record == NO_SEND -> record = send
        :: else
        fi;
        goto end_idle
    };
remove:
    atomic {
        if
        :: record == send -> record = NO_SEND
        :: else
        fi;
        goto end_idle
    }
}

/* The caller. */
active proctype caller()
{
    byte send = 0;
    if
    :: keyed = true
    :: keyed = false
    fi;
    run host(0);
end_waiting:
    do
    :: send + 1 < SENDS && (keyed || reported[send] == not_run) && reported[send] != answered ->
        send++;
        run host(send)
    :: reported[send] == answered -> break
    od
}
