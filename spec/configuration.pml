/*
 * Spread of the configuration: versions appear one after the other in an object API that has outages
 * and serves old copies (apply.pml shows how they come about). Hosts learn them from there and from each
 * other, pause with an answer in hand, are cut off, and restart with nothing.
 *
 * Checked: no host that serves goes back, over restarts too; in the end every host holds the newest
 * version.
 *
 * Assumed: a version that a host served is held by another host too when it restarts, and a starting
 * host reaches the live peers within its grace. SOLE_HOLDER_RESTARTS and START_ON_STORE_ALONE show that
 * both are needed. At most two faults come, so at least one host serves all the time; a start of all
 * hosts at once is not part of the model.
 *
 * broken: ADOPT_ANY
 * broken: START_ON_STORE_ALONE
 * broken: SILENT_WATCH_TRUSTED
 * broken: SOLE_HOLDER_RESTARTS
 * broken: KEEP_OLD_ANSWERS
 */

#define HOSTS 3
#define MAX_VERSION 3

byte version = 1; /* held by every host at the beginning */
byte held[HOSTS] = 1;
byte pending[HOSTS]; /* an answer of the object API in the hand of a host that may be paused */
bool ready[HOSTS] = true;
byte asked[HOSTS];   /* peers that told a starting host what they hold, one bit each */
byte served[HOSTS] = 1;  /* newest version that the host ever served with */
byte cut = HOSTS;    /* the host that reaches no peer; HOSTS: none */
bool down = false;
bool silent = false; /* the watch of host 0 no longer tells */
byte budget = 2;     /* faults that may still come: any two, also the same twice */

/* Changes are accepted while the object API is up. */
proctype publisher()
{
end:
    do
    :: atomic { !down && version < MAX_VERSION -> version++ }
    od
}

#define all_others(h) (7 - (1 << h))

/* Whether a live host beside h holds what h served with. */
#ifdef SOLE_HOLDER_RESTARTS
#define may_restart(h) true
#else
#define may_restart(h) (held[(h + 1) % HOSTS] >= served[h] || held[(h + 2) % HOSTS] >= served[h])
#endif

inline check_served(h)
{
    if
    :: ready[h] ->
        assert(held[h] >= served[h]); /* no host goes back */
        served[h] = held[h]
    :: else
    fi
}

inline adopt(h, offered)
{
#ifdef ADOPT_ANY
    if
    :: offered > 0 -> held[h] = offered
    :: else
    fi;
#else
    if
    :: offered > held[h] -> held[h] = offered
    :: else
    fi;
#endif
    check_served(h)
}

/* A peer tells what it holds. Answers from before the word of a peer that itself starts are void: a
 * version that this host served may have been passed on meanwhile, and lost by that peer. */
#ifdef KEEP_OLD_ANSWERS
#define answers_before(h, p) asked[h]
#else
#define answers_before(h, p) (ready[p] -> asked[h] : 0)
#endif
#define hear(h, p) atomic { cut != h && cut != p && \
                            (held[p] > held[h] || (!ready[h] && !(asked[h] & (1 << p)))) -> \
        if \
        :: !ready[h] -> asked[h] = answers_before(h, p) | (1 << p) \
        :: else \
        fi; \
        adopt(h, held[p]) }

proctype host(byte h)
{
    bool watcher = (h == 0);
end:
    do
    /* A watcher, or a host that starts, reads the newest copy or an old one. */
    :: atomic { !down && pending[h] == 0 && (held[h] < version || !ready[h]) &&
                ((watcher && !silent) || (!ready[h] && held[h] == 0)) ->
        if
        :: pending[h] = version
        :: version > 1 -> pending[h] = version - 1
        fi }
    :: atomic { pending[h] > 0 -> adopt(h, pending[h]); pending[h] = 0 }
    :: hear(h, (h + 1) % HOSTS)
    :: hear(h, (h + 2) % HOSTS)
    /* A host that starts becomes ready. */
#ifdef START_ON_STORE_ALONE
    :: atomic { !ready[h] && held[h] > 0 -> ready[h] = true; check_served(h) }
#else
    :: atomic { !ready[h] && held[h] > 0 && asked[h] == all_others(h) ->
        ready[h] = true; asked[h] = 0; check_served(h) }
#endif
    :: atomic { budget > 0 && ready[h] && may_restart(h) ->
        budget--; ready[h] = false; held[h] = 0; pending[h] = 0; asked[h] = 0 }
    :: atomic { budget > 0 && cut == HOSTS -> budget--; cut = h }
    :: atomic { cut == h -> cut = HOSTS }
    od
}

proctype faults()
{
end:
    do
    :: atomic { budget > 0 && !down -> budget--; down = true }
    :: atomic { down -> down = false }
    :: atomic { budget > 0 && !silent -> budget--; silent = true }
#ifndef SILENT_WATCH_TRUSTED
    :: atomic { silent -> silent = false } /* its timeout passed: the host reads and watches anew */
#endif
    od
}

/* When nothing can happen any more, every host holds the newest version. */
proctype settled()
{
    timeout -> assert((held[0] == version && held[1] == version && held[2] == version))
}

init
{
    atomic {
        run publisher();
        run host(0);
        run host(1);
        run host(2);
        run faults();
        run settled()
    }
}
