/*
 * A store that comes back from an older copy, and hosts that follow its desired state: one from the store,
 * the other from pages of the first or from the store. Revisions are given out again after a restoration;
 * the operator writes again what was lost.
 *
 * Checked: no host goes back to an older version; once changes and restorations have ended, each host has the
 * newest version after its next exchange.
 *
 * Assumed: a watch that waits is ended by a restoration, so a watch is one step here.
 *
 * broken: ERA_IGNORED
 * broken: PAGES_BY_REVISION
 */

#define WRITES 4
#define RESTORATIONS 2

byte era = 1;
byte revision = 1;
byte stored = 1;      /* version of the desired state in the store */
byte changed_at = 1;  /* revision of its last change */
byte newest = 1;      /* newest version that was confirmed */
byte copy_revision = 1;
byte copy_stored = 1;
byte copy_changed_at = 1;
byte writes = 0;
byte restorations = 0;
bool quiet = false;        /* no more changes */
bool first_is_done = false; /* the first host has had its exchange since */

byte known_era[2] = 1;
byte known_revision[2] = 1;
byte held[2] = 1;

inline write_newest()
{
    revision++;
    stored = newest;
    changed_at = revision
}

proctype store_and_operator()
{
    do
    :: atomic { writes < WRITES -> writes++; newest++; write_newest() }
    :: atomic { writes < WRITES -> writes++; revision++ } /* another object */
    :: atomic { copy_revision = revision; copy_stored = stored; copy_changed_at = changed_at }
    :: atomic {
        restorations < RESTORATIONS && copy_revision < revision ->
        restorations++;
        era++;
        revision = copy_revision;
        stored = copy_stored;
        changed_at = copy_changed_at;
        if
        :: stored != newest -> write_newest()
        :: else
        fi
    }
    :: break
    od;
    quiet = true
}

inline adopt(h, offered)
{
    if
    :: offered > held[h] -> held[h] = offered
    :: else
    fi
}

#ifdef ERA_IGNORED
#define is_same_history(h) true
#else
#define is_same_history(h) (known_era[h] == era)
#endif

/* A watch from the known revision, or a list where the store does not have it. */
inline ask_store(h)
{
    if
    :: is_same_history(h) && known_revision[h] <= revision ->
        if
        :: changed_at > known_revision[h] -> adopt(h, stored)
        :: else
        fi
    :: else -> adopt(h, stored)
    fi;
    known_era[h] = era;
    known_revision[h] = revision
}

#ifdef PAGES_BY_REVISION
#define is_older_page (known_revision[0] < known_revision[1])
#else
#define is_older_page (known_era[0] < known_era[1] || (known_era[0] == known_era[1] && known_revision[0] < known_revision[1]))
#endif

inline read_page()
{
    if
    :: is_older_page
    :: else ->
        adopt(1, held[0]);
        known_era[1] = known_era[0];
        known_revision[1] = known_revision[0]
    fi
}

proctype following_host()
{
    byte before;
    do
    :: atomic { !quiet -> before = held[0]; ask_store(0); assert(held[0] >= before) }
    :: atomic { quiet -> ask_store(0); assert(held[0] == newest); first_is_done = true; break }
    od
}

proctype reading_host()
{
    byte before;
    do
    :: atomic { !quiet -> before = held[1]; read_page(); assert(held[1] >= before) }
    :: atomic { !quiet -> before = held[1]; ask_store(1); assert(held[1] >= before) }
    :: atomic { quiet && first_is_done -> read_page(); assert(held[1] == newest); break }
    :: atomic { quiet -> ask_store(1); assert(held[1] == newest); break }
    od
}

init
{
    run store_and_operator();
    run following_host();
    run reading_host()
}
