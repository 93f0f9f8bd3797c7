/*
 * At most once: one idempotency key, two endpoints whose agents may crash, be replaced and live on unaware, one entry
 * with the first attempt, two resends, and a store with an outage.
 *
 * Time is abstract. The key is issued at I. `expired` says that the agents' own clocks have passed I + F, and `over`
 * that I + F + margin has passed by the clock of whoever judges a resend. Clocks within the margin give: over implies
 * expired everywhere.
 *
 * Each rule names the function that carries it out. Define one of the M_... names to remove a rule: the checker must
 * then find a fault (model/check does so for each).
 */

#define ENDPOINTS 2
#define INCARNATIONS 4         /* two for each endpoint: i / 2 is the endpoint, i % 2 the incarnation */

/*
 * Four scopes keep the state space small; model/check runs them all.
 *   ONE     endpoint 0 may be replaced while its predecessor lives on; one resend
 *   BOTH    both endpoints may be replaced; one resend
 *   RACE    endpoint 0 may be replaced; two resends race
 *   CALM    nothing fails and nobody refuses: a fresh key must then run
 */
#ifdef RACE
#define RESENDS 2
#else
#define RESENDS 1
#endif

/* The rules. Each may be removed by defining its M_... name. */
#ifdef M_RECHECK
#define MAY_START true
#else
#define MAY_START (!expired)
#endif
#ifdef M_VALIDATE
#define VALID_AFTER_PAUSE true
#else
#define VALID_AFTER_PAUSE false
#endif
#ifdef M_NOT_RUN
#define MAY_SAY_NOT_RUN true
#else
#define MAY_SAY_NOT_RUN (!over)
#endif
#ifdef M_OVER
#define WINDOW_OVER true
#else
#define WINDOW_OVER over
#endif
#ifdef M_HELD
#define HELD_ELSEWHERE false
#else
#define HELD_ELSEWHERE held
#endif
#ifdef M_JOURNAL
#define JOURNALED false
#else
#define JOURNALED (listed[0] || listed[1] || listed[2] || listed[3])
#endif
#ifdef M_SELF
#define ASKS_ITSELF false
#else
#define ASKS_ITSELF true
#endif
#ifdef M_CLAIM
#define CLAIM_FREE true
#else
#define CLAIM_FREE (claimant == 0)
#endif
#ifdef M_COVER_ANY
#define COVERS(x) true
#else
#define COVERS(x) covers[x]
#endif
#ifdef M_SILENT
#define ANSWERS(x) true
#else
#define ANSWERS(x) (x)
#endif
#ifdef M_COVER
#define COVERED(e, byStatement) true
#else
#define HEAD_COVERS(x) (registered[x] && COVERS(x) && marked[x])
#define COVERED(e, byStatement) ((byStatement) || HEAD_COVERS(2 * (e)) || HEAD_COVERS(2 * (e) + 1))
#endif
#ifdef M_ENDED
#define ENDED(x) true
#else
#define ENDED(x) (!registered[x] || marked[x] || goneBefore[x] || i == x || (answered && j == x))
#endif

mtype = { unseen, queued, running, tombstone, gathering, claimed };

bool over;                     /* firstAttemptsClosedAt() */
bool expired;                  /* every agent's own clock has passed I + F */
byte current[ENDPOINTS];       /* the incarnation that the configuration's address leads to: 0 or 1 */
bool alive[INCARNATIONS];
bool covers[INCARNATIONS];     /* started before I */
bool validated[INCARNATIONS];  /* AgentCore::m_validated */
mtype memory[INCARNATIONS];    /* KeyTable */

bool registered[INCARNATIONS]; /* a journal head is in the store */
bool listed[INCARNATIONS];     /* the journal lists the key */
bool marked[INCARNATIONS];     /* the journal's watermark has passed I + F */
bool sealed[INCARNATIONS];     /* JournalWriter::seal() */
bool goneBefore[INCARNATIONS]; /* terminatedBy lies before I */
byte claimant;                 /* 0, or 1 + the incarnation that holds the claim */

byte runs;
bool notRunSaid;
bool firstDone;
bool ready;                    /* init has set the stage */
bool dropped;                  /* the agent gave the queued first attempt back as not run */
byte refusals;

inline start(i) {
    runs++;
    assert(runs <= 1);
    memory[i] = running
}

/* Clocks. M_CLOCK: the agents' clocks are beyond the margin. */
active proctype Time() {
#ifdef CALM
    firstDone;
#endif
#ifdef M_CLOCK
    over = true;
    expired = true
#else
    expired = true;
    over = true
#endif
}

/* AgentCore::startNext(): the window is checked again just before the first byte. */
proctype Agent(byte i) {
end:
    do
    :: atomic { alive[i] && memory[i] == queued && MAY_START ->
        assert(!notRunSaid);                    /* a resend that comes after "not run" may run */
        start(i) }
    :: atomic { alive[i] && memory[i] == claimed -> start(i) }
    :: atomic { alive[i] && memory[i] == queued && expired -> memory[i] = unseen }
#ifndef CALM
    :: atomic { alive[i] && memory[i] == queued && !dropped -> memory[i] = unseen; dropped = true }
#endif
    od
}

#ifdef M_MARK
#define LISTS(i) false
#else
#define LISTS(i) (memory[i] == running)
#endif

/* RunJournal::takeWrite() and JournalWriter::perform(); whenever the store is up, which may be never. */
proctype Journal(byte i) {
end:
    do
    :: atomic { alive[i] && !sealed[i] && (!registered[i] || !validated[i] || LISTS(i) > listed[i] || expired > marked[i]) ->
        registered[i] = true;
        validated[i] = true;
        listed[i] = listed[i] || LISTS(i);
        marked[i] = expired }
    od
}

/* An agent crashes or is paused and taken for dead; a successor starts, with or without the store. */
proctype Replace(byte e) {
    if
    :: skip                                     /* it doesn't happen */
    :: atomic {
        alive[2 * e] = false;
        current[e] = 1;
        alive[2 * e + 1] = true };
#ifndef BOTH
#ifndef RACE
       if
       :: skip
       :: atomic { alive[2 * e] = true;         /* the old one was paused, and wakes */
            validated[2 * e] = VALID_AFTER_PAUSE }
       fi;
#endif
#endif
       if
       :: skip
       :: atomic { sealed[2 * e] = registered[2 * e]; registered[2 * e + 1] = true }
       fi
    fi
}

/* EntryCore: the first attempt, held by any agent or entry for any time. */
active proctype First() {
    byte e, i;
    ready;
    if :: e = 0 :: e = 1 fi;
again:
    /* An entry may still reach a predecessor that lives on. */
    if :: i = 2 * e + current[e] :: i = 2 * e fi;
    atomic {
        if
        :: !alive[i] -> refusals++; goto refused        /* connection refused: no byte was sent */
#ifndef CALM
        :: alive[i] -> goto stopped                     /* sent, and silent: unknown */
        :: alive[i] -> refusals++; goto refused         /* a refusal for another reason */
#endif
        /* AgentCore::handleFirstAttempt() */
        :: alive[i] && !validated[i] -> refusals++; goto refused
        :: alive[i] && validated[i] && !MAY_START -> goto stopped
        :: alive[i] && validated[i] && MAY_START && memory[i] == unseen -> memory[i] = queued
        :: alive[i] && memory[i] != unseen -> goto stopped
        fi
    };
#ifdef M_SILENT_MOVE
    if :: refusals++; goto refused :: skip fi;
#endif
    (dropped || memory[i] != queued || !alive[i]);
    if
    :: atomic { dropped -> dropped = false; refusals++ }; goto refused
    :: else -> goto stopped
    fi;
refused:
    if
    :: refusals < 2 -> e = 1 - e; goto again
    :: else ->
        atomic {
            /* EntryCore::refusalFor(): "not run" only while no resend can have been allowed. */
            if
            :: MAY_SAY_NOT_RUN -> assert(runs == 0); notRunSaid = true
            :: else
            fi
        }
    fi;
stopped:
    firstDone = true
}

/* decideResend() with EvidenceCollector, and the claim. */
#ifdef CALM
/* Liveness: a fresh key that reaches a live agent within its window runs. */
active proctype Calm() {
    firstDone && over && runs == 1
}
#endif

#ifndef CALM
active [RESENDS] proctype Resend() {
    byte h, i, o, j;
    bool answered, statementCovers, held, proved;
    ready;
    if :: h = 0 :: h = 1 fi;
    /* An entry may still reach a predecessor that lives on. */
    if :: i = 2 * h + current[h] :: i = 2 * h fi;
    o = 1 - h;
    atomic {
        if
        :: alive[i] && (memory[i] == unseen || memory[i] == tombstone) -> memory[i] = gathering
        :: else -> goto stopped
        fi
    };
    /* decideResend(): evidence counts only when its gathering began after the window. */
    if
    :: WINDOW_OVER -> skip
    :: goto giveUp
    fi;
    /* EvidenceCollector::askAgents(): every endpoint is asked at its address, the own one too. */
    atomic {
        if
        :: ASKS_ITSELF && current[h] != i % 2 -> goto giveUp
        :: else
        fi
    };
    j = 2 * o + current[o];
    atomic {
        if
        :: alive[j] ->
            answered = true;
            statementCovers = covers[j];
            held = !(memory[j] == unseen || memory[j] == tombstone);
            memory[j] = (memory[j] == unseen -> tombstone : memory[j])
        :: skip                                         /* silent */
        fi
    };
    /* EvidenceCollector::readJournals(); EvidenceChecker: everyEndpointCovered(), everyIncarnationAccountedFor(),
       isJournaled() */
    atomic {
        if
        :: proved = ANSWERS(answered) && COVERED(h, covers[i]) && COVERED(o, answered && statementCovers) &&
                ENDED(0) && ENDED(1) && ENDED(2) && ENDED(3) && !JOURNALED
        :: goto giveUp                                  /* the store is away */
        fi
    };
    if
    :: proved && !HELD_ELSEWHERE -> skip
    :: else -> goto giveUp
    fi;
    /* EvidenceCollector::claim() */
    atomic {
        if
        :: alive[i] && memory[i] == gathering && CLAIM_FREE -> claimant = 1 + i
        :: goto giveUp                                  /* the store is away, or another holds the claim */
        fi
    };
    atomic {
        if
        :: alive[i] && memory[i] == gathering -> memory[i] = claimed
        :: else
        fi
    };
    goto stopped;
giveUp:
    atomic {
        if
        :: alive[i] && memory[i] == gathering -> memory[i] = unseen
        :: else
        fi
    };
stopped:
    atomic { answered = false; statementCovers = false; held = false; proved = false; i = 0; j = 0; h = 0; o = 0 }
}
#endif

init {
    atomic {
        alive[0] = true; alive[2] = true;
        covers[0] = true; covers[2] = true;
        validated[0] = true; validated[1] = true; validated[2] = true; validated[3] = true;
        memory[0] = unseen; memory[1] = unseen; memory[2] = unseen; memory[3] = unseen;
        registered[2] = true;
        if
        :: registered[0] = true
        :: registered[0] = false                        /* it started while the store was away */
        :: /* endpoint 0 was replaced before I; its predecessor is cut off and hasn't noticed yet */
           registered[0] = true; registered[1] = true; sealed[0] = true;
           current[0] = 1; alive[1] = true; covers[1] = true
        :: /* as before, but long enough ago that the predecessor counts as gone; it was paused and is about to wake */
           registered[0] = true; registered[1] = true;
           sealed[0] = true; goneBefore[0] = true;
           current[0] = 1; alive[1] = true; covers[1] = true;
           validated[0] = VALID_AFTER_PAUSE
        fi;
        run Agent(0); run Agent(1); run Agent(2);
        run Journal(0); run Journal(1); run Journal(2);
#ifdef BOTH
        run Agent(3); run Journal(3);
#endif
#ifndef CALM
        if
        :: current[0] == 0 -> run Replace(0)
        :: else
        fi;
#endif
#ifdef BOTH
        run Replace(1);
#endif
        ready = true
    }
}
