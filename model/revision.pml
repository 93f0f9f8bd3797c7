/*
 * One settled configuration: two operators edit at once, the store loses answers and is set back, and three processes
 * learn of revisions from the store and from each other, late and in any order.
 *
 * Invariants: the revision in force at a process never falls; no two edits share a revision; an operator whose edit
 * doesn't start from the newest revision that any process has in force is refused. Define M_... to remove a rule; the
 * checker must then find a fault.
 */

#define PROCESSES 3

#ifdef M_OLDER
#define MAY_APPLY(revision, present) ((revision) != (present))
#else
#define MAY_APPLY(revision, present) ((revision) > (present))
#endif
#ifdef M_SWAP
#define MAY_SWAP(seen) true
#else
#define MAY_SWAP(seen) (version == (seen))
#endif
#ifdef M_CLOCK
#define NEXT_REVISION(base) ((base) + 1)
#else
#define NEXT_REVISION(base) (clock > (base) -> clock : (base) + 1)
#endif
#ifdef M_ASK
#define FLEET_AHEAD(base) false
#else
#define FLEET_AHEAD(base) (inForce[0] > (base) || inForce[1] > (base) || inForce[2] > (base))
#endif

byte clock = 2;                /* the operators' clocks; grows with each edit */
byte stored = 1;               /* the revision in the store */
byte version = 1;              /* the store's own version, which never goes back */
byte inForce[PROCESSES];
byte madeBy[16];               /* revision -> operator whose edit made it */

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

/* FleetAdmin::accept(): ask the fleet, then compare-and-swap from the version that was read. */
proctype Operator(byte me) {
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
            assert(madeBy[next] == 0);
            assert(stored == base);             /* otherwise another operator's edit would be lost */
            madeBy[next] = me;
#ifdef M_ASK
            /* The edit starts from a revision that the fleet has left behind. */
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

/* ConfigurationService::watchStore() and repairStore() */
proctype Watch(byte p) {
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
proctype Peer(byte from, to) {
    byte revision;
    revision = inForce[from];
    offer(to, revision)
}

proctype SetBack() {
    byte old;
    old = stored;
    if
    :: skip
    :: atomic { stored = old; version++ }
    fi
}

init {
    atomic {
        inForce[0] = 1; inForce[1] = 1; inForce[2] = 1;
        run Operator(1);
        run Operator(2);
        run Watch(0);
        run Watch(1);
        run Peer(0, 1);
        run Peer(1, 2);
        run SetBack()
    }
}
