/*
 * Apply: writers change one contested entry through an object API that loses requests and answers,
 * delivers writes late and serves old copies. The result is a sequence of versions; configuration.pml
 * models how these reach the hosts.
 *
 * Checked: a change takes effect at most once, and never overwrites a later change to its entry; a run
 * that took effect is never reported as refused.
 *
 * broken: NO_STAMPS
 * broken: BLIND_RESEND
 * broken: NO_SETTLING
 */

#define RUNS 3
#define MAX_VERSION 3
#define CHANGES 3 /* ids 1 and 2; 0 is none */

/* Versions of the lists: the value and stamp (version of its last change) of the contested entry, and
 * the change that made the version. */
byte version = 0;
byte value[MAX_VERSION + 1];
byte stamp[MAX_VERSION + 1];
byte made_by[MAX_VERSION + 1];

byte base[CHANGES];     /* version at which the file of the change was pulled */
bool pulled[CHANGES];
bool took_effect[CHANGES];
bool effective[RUNS];   /* a write of this run took effect */

mtype = { none, ok, conflict };
mtype answer[RUNS] = none;
byte attempt[RUNS];

/* A write in transit: expected version, run, attempt, change. */
chan writes = [2] of { byte, byte, byte, byte };

#define is_in_history(id, v) ((v >= 1 && made_by[1] == id) || (v >= 2 && made_by[2] == id) || \
                           (v >= 3 && made_by[3] == id))

proctype store()
{
    byte expected, job, number, id;
end:
    do
    :: atomic { writes ? expected, job, number, id ->
        if
        :: true -> skip /* the request was lost */
        :: true ->
#ifdef BLIND_RESEND
            if
            :: number > 1 -> expected = version
            :: else
            fi;
#endif
            if
            :: expected == version && version < MAX_VERSION ->
                assert(!took_effect[id]);           /* a rerun has no second effect */
                assert(stamp[version] <= base[id]); /* no later change is overwritten */
                version++;
                value[version] = id;
                stamp[version] = version;
                made_by[version] = id;
                took_effect[id] = true;
                effective[job] = true;
                if
                :: number == attempt[job] -> answer[job] = ok
                :: true -> skip /* the answer was lost */
                fi
            :: else ->
                if
                :: number == attempt[job] -> answer[job] = conflict
                :: true -> skip
                fi
            fi
        fi;
        expected = 0; job = 0; number = 0; id = 0 }
    od
}

/* Reads the newest version or the one before. A version below the base is left out: a writer that gets
 * one reads again. */
inline read_store()
{
    if
    :: seen = version
    :: version > base[id] -> seen = version - 1
    fi
}

proctype writer(byte job; byte id; bool rerun)
{
    byte seen, expected;
    if
    :: rerun -> pulled[id] /* the file exists */
    :: else -> atomic { base[id] = version; pulled[id] = true }
    fi;
decide:
    atomic { read_store();
        if
        :: value[seen] == id && !(effective[job]) -> goto done /* already in force */
        :: value[seen] == id && effective[job] -> assert(false)
#ifndef NO_STAMPS
        :: value[seen] != id && stamp[seen] > base[id] ->
            assert(!effective[job]); /* refused */
            goto done
        :: value[seen] != id && stamp[seen] <= base[id] ->
#else
        :: value[seen] != id ->
#endif
            expected = seen;
            attempt[job]++;
            answer[job] = none;
            writes ! expected, job, attempt[job], id
        fi };
    atomic {
        if
        :: answer[job] == ok -> goto done /* applied */
        :: answer[job] == conflict -> goto retry
        :: answer[job] == none -> skip /* no answer in time */
        fi };
#ifdef NO_SETTLING
    goto retry;
#endif
find_outcome:
#ifdef BLIND_RESEND
    atomic {
        if
        :: attempt[job] == 1 -> attempt[job]++; writes ! expected, job, attempt[job], id
        :: else
        fi };
#endif
    atomic { read_store();
        if
        :: is_in_history(id, seen) -> goto done /* applied */
        :: !is_in_history(id, seen) && seen > expected -> goto retry
        :: !is_in_history(id, seen) && seen <= expected && version == seen -> goto done /* unknown */
        :: !is_in_history(id, seen) && seen <= expected && version != seen -> goto find_outcome
        fi };
retry:
    if
    :: attempt[job] < 3 -> goto decide
    :: else /* gives up: unknown */
    fi;
done:
    seen = 0
}

init
{
    atomic {
        run store();
        run writer(0, 1, false);
        run writer(1, 2, false);
        run writer(2, 1, true) /* a rerun of the first change */
    }
}
