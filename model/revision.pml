/*
 * Model of the distribution of configuration revisions.
 *
 * Two operators edit the configuration concurrently, the store may be restored to an older content, and three processes
 * receive revisions from the store and from each other, with any delay and in any order.
 *
 * Invariants: the revision in force at a process never decreases; no two edits get the same revision; an edit that does
 * not start from the newest revision in force at any process is refused. Defining one of the M_... macros gives a
 * mutant: it removes one rule, and the checker must then find a violation. model/check verifies this for each mutant.
 */

#define PROCESSES 3

/* A process applies only a revision that is newer than the one in force. */
#ifdef M_OLDER
#define MAY_APPLY(revision, present) ((revision) != (present))
#else
#define MAY_APPLY(revision, present) ((revision) > (present))
#endif
/* The store accepts an edit only if its version has not changed since the operator read it (compare-and-swap). */
#ifdef M_SWAP
#define MAY_SWAP(seen) true
#else
#define MAY_SWAP(seen) (version == (seen))
#endif
/* A new revision is taken from the clock, and is at least one above the revision that was edited. */
#ifdef M_CLOCK
#define NEXT_REVISION(base) ((base) + 1)
#else
#define NEXT_REVISION(base) (clock > (base) -> clock : (base) + 1)
#endif
/* An edit is refused if any process has a newer revision in force than the one that was edited. */
#ifdef M_FLEET_CHECK
#define FLEET_AHEAD(base) false
#else
#define FLEET_AHEAD(base) (inForce[0] > (base) || inForce[1] > (base) || inForce[2] > (base))
#endif

byte clock = 2;                /* the clock of the operators; advances with each edit */
byte stored = 1;               /* the revision in the store */
byte version = 1;              /* the store's own version, which never decreases */
byte inForce[PROCESSES];
byte authorOf[16];             /* by revision: the operator whose edit created it, or 0 */

/* ActiveConfiguration::offer() */
inline offer(p, revision) {
    atomic {
        if
        :: MAY_APPLY(revision, inForce[p]) ->
            assert(revision >= inForce[p]);
            inForce[p] = revision
        :: else
        fi
    }
}

/*
 * FleetAdmin::accept(): queries the processes for their revisions, then writes the edit with a compare-and-swap from
 * the version that was read.
 */
proctype Operator(byte author) {
    byte base, seen, next;
    atomic { base = stored; seen = version };
    atomic {
        if
        :: FLEET_AHEAD(base) -> goto refused
        :: else
        fi
    };
    atomic {
        if
        :: MAY_SWAP(seen) ->
            next = NEXT_REVISION(base);
            clock = next + 1;
            assert(authorOf[next] == 0);
            assert(stored == base);             /* otherwise another operator's edit would be lost */
            authorOf[next] = author;
#ifdef M_FLEET_CHECK
            /* Fails if the edit starts from an older revision than a process has in force. */
            assert(inForce[0] <= base && inForce[1] <= base && inForce[2] <= base);
#endif
            stored = next;
            version++
        :: else -> goto refused
        fi
    };
refused:
    skip
}

/* ConfigurationService::watchStore() and repairStore(), which writes a newer revision in force back to the store */
proctype WatchStore(byte p) {
    byte revision, seen, rounds;
    do
    :: rounds < 2 ->
        rounds++;
        atomic { revision = stored; seen = version };
        offer(p, revision);
        atomic {
            if
            :: revision < inForce[p] && version == seen -> stored = inForce[p]; version++
            :: else
            fi
        }
    :: break
    od
}

/* ConfigurationService::fetchFrom() */
proctype FetchFromPeer(byte from, to) {
    byte revision;
    revision = inForce[from];
    offer(to, revision)
}

/* The store may be restored from a backup that holds an older revision. */
proctype RestoreStore() {
    byte backup;
    backup = stored;
    if
    :: skip
    :: atomic { stored = backup; version++ }
    fi
}

init {
    atomic {
        inForce[0] = 1; inForce[1] = 1; inForce[2] = 1;
        run Operator(1);
        run Operator(2);
        run WatchStore(0);
        run WatchStore(1);
        run FetchFromPeer(0, 1);
        run FetchFromPeer(1, 2);
        run RestoreStore()
    }
}
