/* One request that may not be repeated, sent up to three times by its caller through entry hosts.
 *
 * With an Idempotency-Key the caller sends again at any moment, also while an earlier send is still
 * in progress. Without one it sends again only when told `not-run`. Each send is served by a host
 * that may die at any step. A host serves a keyed send only after it has created the key's record
 * in the object API; the record names the send. A lost answer is settled by reading the record.
 *
 * The object API may answer, lose the answer before or after the write took effect, apply the write
 * later, or be down. A connection to an upstream may be refused, break, or go silent; what was sent
 * on it may still run after the host has given up.
 *
 * Properties, as assertions: the request runs at most once, and `not-run` is never said of a send
 * that ran or runs later.
 *
 * Variants that must be refuted:
 *   broken: RETRY_AFTER_BREAK        sends again after a connection broke with bytes sent
 *   broken: HEDGE                    hedges what may not be repeated
 *   broken: NOT_RUN_AT_DEADLINE      says not-run at a deadline after bytes were sent
 *   broken: SEND_WITHOUT_RECORD      goes ahead when the object API is down
 *   broken: ABSENT_IS_FREE           after a lost create, sends if the record is not there yet
 *   broken: ASSUME_OWN               after a lost create, takes any record for its own
 *   broken: RELEASE_AT_BREAK         removes the record when the outcome is unknown
 *   broken: RECORD_EXPIRES           the record vanishes while a send may be in progress
 * Variants that show the model does reach what it should:
 *   broken: NEVER_RUNS               claims that the request never runs
 *   broken: NEVER_REFUSED            claims that not-run is never said
 *   broken: LAST_NEVER_RUNS          claims that the caller's last send never runs
 */

#define SENDS 3
#define ATTEMPTS 2
#define NOBODY 255

mtype = { none, answered, not_run, unknown }       /* what a caller is told */
mtype = { created, exists, lost, down }            /* how a create ended */
mtype = { reply_done, reply_shed }                 /* what an upstream answers */

bool keyed;                  /* carries an Idempotency-Key */
byte record = NOBODY;        /* the send that the key's record names */
bool late_create[SENDS];     /* a create on its way that nobody waits for */
bool late_remove[SENDS];

byte runs;                   /* of the request, whichever send */
bool ran[SENDS];
mtype told[SENDS] = none;

chan wire = [4] of { byte, byte };                 /* send, attempt: bytes that left a host */
chan reply[SENDS] = [ATTEMPTS] of { mtype, byte }; /* answer, attempt */

inline tell(send, what)
{
    d_step {
        told[send] = what;
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
        :: record == NOBODY -> record = send; end = created
        :: record == send -> end = created
        :: record != NOBODY && record != send -> end = exists
        :: record == NOBODY -> record = send; end = lost     /* the answer is lost */
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
        :: record == send -> record = NOBODY
        :: record != send
        :: true
        :: true -> late_remove[send] = true
        fi
    }
}

/* Tries to own the key; sets `owns`. */
inline claim(send)
{
    create_record(send, end);
    do
    :: end == created -> owns = true; break
    :: end == exists -> tell(send, unknown); break       /* another send may have run */
    :: end == down ->
#ifdef SEND_WITHOUT_RECORD
        owns = true;
#else
        tell(send, not_run);
#endif
        break
    :: end == lost ->
        if                                               /* settle by reading */
        :: record == send -> owns = true; break
#ifdef ASSUME_OWN
        :: record != NOBODY -> owns = true; break
#else
        :: record != NOBODY && record != send -> tell(send, unknown); break
#endif
#ifdef ABSENT_IS_FREE
        :: record == NOBODY -> owns = true; break
#else
        :: record == NOBODY -> create_record(send, end)  /* the same record, so it may arrive twice */
#endif
        :: true -> tell(send, not_run); break            /* down: nothing was sent */
        fi
    od
}

/* Sends the request to upstreams until there is an answer or nothing more may be done. */
inline dispatch(send)
{
    do
    :: !sent && attempt == ATTEMPTS ->                   /* every attempt is proved not run */
        if
        :: keyed -> remove_record(send)
        :: else
        fi;
        tell(send, not_run); break
    :: !sent && attempt < ATTEMPTS -> attempt++          /* the connection could not be opened */
    :: !sent && attempt < ATTEMPTS -> wire ! send, attempt; sent = true
    :: sent && reply[send] ?? [reply_done, eval(attempt)] ->
        reply[send] ?? reply_done, eval(attempt);
        tell(send, answered); break
    :: sent && reply[send] ?? [reply_shed, eval(attempt)] ->
        reply[send] ?? reply_shed, eval(attempt);
        sent = false; attempt++
    :: sent ->                                           /* the connection breaks */
#ifdef RETRY_AFTER_BREAK
        if
        :: attempt + 1 < ATTEMPTS -> attempt++; sent = false
        :: else -> tell(send, unknown); break
        fi
#else
#ifdef RELEASE_AT_BREAK
        remove_record(send);
#endif
        tell(send, unknown); break
#endif
    :: sent ->                                           /* deadline, or the caller leaves */
#ifdef NOT_RUN_AT_DEADLINE
        tell(send, not_run);
#else
        tell(send, unknown);
#endif
        break
#ifdef HEDGE
    :: sent && attempt + 1 < ATTEMPTS -> attempt++; wire ! send, attempt
#endif
    :: break                                             /* the host dies */
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
    :: keyed -> claim(send)
    :: !keyed -> owns = true
    :: true                                              /* the host dies */
    fi;
    if
    :: owns -> dispatch(send)
    :: else
    fi
}

/* The upstreams: run, shed or never see what was sent; the answer may be lost. */
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
                assert(told[send] != not_run);
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
        :: true                                          /* a silent connection swallowed it */
        fi
    od
}

/* The object API applying delayed writes. */
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
    :: record != NOBODY -> record = NOBODY
#endif
    od;
create:
    atomic {
        if
        :: record == NOBODY -> record = send
        :: else
        fi;
        goto end_idle
    };
remove:
    atomic {
        if
        :: record == send -> record = NOBODY
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
    :: send + 1 < SENDS && (keyed || told[send] == not_run) && told[send] != answered ->
        send++;
        run host(send)
    :: told[send] == answered -> break
    od
}
