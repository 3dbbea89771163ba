/*
 * Distribution of the configuration: versions appear in sequence in an object API that has outages and
 * serves old copies (apply.pml models how they are made). Hosts get them from there and from each other.
 * A host may pause before it handles an answer, lose its peers, and restart without any state.
 *
 * Checked: no serving host goes back to an older version, not even after a restart; in the end every
 * host holds the newest version.
 *
 * Assumed: when a host restarts, another host holds the version that it served, and a starting host
 * reaches the live peers within its grace period. SOLE_HOLDER_RESTARTS and START_ON_STORE_ALONE show that
 * both assumptions are needed. At most two faults occur, so at least one host serves at any time; a start
 * of all hosts at once is not modelled.
 *
 * broken: ADOPT_ANY
 * broken: START_ON_STORE_ALONE
 * broken: SILENT_WATCH_TRUSTED
 * broken: SOLE_HOLDER_RESTARTS
 * broken: KEEP_OLD_ANSWERS
 */

#define HOSTS 3
#define MAX_VERSION 3

byte version = 1; /* the newest; every host holds the first one at the beginning */
byte held[HOSTS] = 1;
byte unhandled[HOSTS]; /* answer of the object API that the host has received but not handled; 0: none */
bool ready[HOSTS] = true;
byte reported[HOSTS];  /* peers that reported their version to a starting host, one bit each */
byte served[HOSTS] = 1;  /* newest version that the host ever served with */
byte isolated = HOSTS;     /* the host that cannot reach its peers; HOSTS: none */
bool store_down = false;
bool watch_silent = false; /* the watch of host 0 reports no changes */
byte faults_left = 2;      /* faults that may still occur: any two, or the same one twice */

/* Changes are accepted while the object API is up. */
proctype publisher()
{
end:
    do
    :: atomic { !store_down && version < MAX_VERSION -> version++ }
    od
}

#define all_others(h) (7 - (1 << h))

/* Whether another host holds the version that h served with. */
#ifdef SOLE_HOLDER_RESTARTS
#define may_restart(h) true
#else
#define may_restart(h) (held[(h + 1) % HOSTS] >= served[h] || held[(h + 2) % HOSTS] >= served[h])
#endif

inline check_served(h)
{
    if
    :: ready[h] ->
        assert(held[h] >= served[h]); /* no host goes back to an older version */
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

/* A peer reports the version that it holds. A report of a peer that is itself starting invalidates the
 * earlier reports: a version that this host served may since have been passed on to that peer, which then
 * lost it when it restarted. */
#ifdef KEEP_OLD_ANSWERS
#define valid_reports(h, p) reported[h]
#else
#define valid_reports(h, p) (ready[p] -> reported[h] : 0)
#endif
#define receive_report(h, p) atomic { isolated != h && isolated != p && \
                            (held[p] > held[h] || (!ready[h] && !(reported[h] & (1 << p)))) -> \
        if \
        :: !ready[h] -> reported[h] = valid_reports(h, p) | (1 << p) \
        :: else \
        fi; \
        adopt(h, held[p]) }

proctype host(byte h)
{
    bool watcher = (h == 0);
end:
    do
    /* A watching or a starting host reads the newest copy or an old one. */
    :: atomic { !store_down && unhandled[h] == 0 && (held[h] < version || !ready[h]) &&
                ((watcher && !watch_silent) || (!ready[h] && held[h] == 0)) ->
        if
        :: unhandled[h] = version
        :: version > 1 -> unhandled[h] = version - 1
        fi }
    :: atomic { unhandled[h] > 0 -> adopt(h, unhandled[h]); unhandled[h] = 0 }
    :: receive_report(h, (h + 1) % HOSTS)
    :: receive_report(h, (h + 2) % HOSTS)
    /* A starting host becomes ready. */
#ifdef START_ON_STORE_ALONE
    :: atomic { !ready[h] && held[h] > 0 -> ready[h] = true; check_served(h) }
#else
    :: atomic { !ready[h] && held[h] > 0 && reported[h] == all_others(h) ->
        ready[h] = true; reported[h] = 0; check_served(h) }
#endif
    :: atomic { faults_left > 0 && ready[h] && may_restart(h) ->
        faults_left--; ready[h] = false; held[h] = 0; unhandled[h] = 0; reported[h] = 0 }
    :: atomic { faults_left > 0 && isolated == HOSTS -> faults_left--; isolated = h }
    :: atomic { isolated == h -> isolated = HOSTS }
    od
}

proctype faults()
{
end:
    do
    :: atomic { faults_left > 0 && !store_down -> faults_left--; store_down = true }
    :: atomic { store_down -> store_down = false }
    :: atomic { faults_left > 0 && !watch_silent -> faults_left--; watch_silent = true }
#ifndef SILENT_WATCH_TRUSTED
    /* The watch timed out: the host reads again and starts a new watch. */
    :: atomic { watch_silent -> watch_silent = false }
#endif
    od
}

/* When no more steps are possible, every host holds the newest version. */
proctype check_convergence()
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
        run check_convergence()
    }
}
