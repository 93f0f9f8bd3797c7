/*
 * Model of at-most-once execution for one idempotency key.
 *
 * It has two endpoints, an entry that sends the first attempt, up to two resends, and a store that may be unavailable.
 * The agent of an endpoint may crash and be replaced, or be paused, replaced and later resume without knowing about its
 * successor. Each such process of an agent is an incarnation.
 *
 * Time is abstract. The key is issued at time I, and F is the first-attempt window. `windowExpired` is true once the
 * clocks of all agents have passed I + F. `firstAttemptsClosed` is true once the clock of the agent that decides a
 * resend has passed I + F + margin. If all clocks agree to within the margin, firstAttemptsClosed implies
 * windowExpired.
 *
 * Comments name the function that implements each part. Defining one of the M_... macros gives a mutant: it removes one
 * rule, and the checker must then find a violation. model/check verifies this for each mutant.
 */

#define ENDPOINTS 2
#define INCARNATIONS 4 /* two for each endpoint: number x belongs to endpoint x / 2 and is its incarnation x % 2 */

/*
 * The model is checked in four scopes, which keeps each state space small; model/check runs all of them.
 *   ONE_REPLACED    the agent of endpoint 0 may be replaced, and its predecessor may resume after a pause; one resend
 *   BOTH_REPLACED   the agents of both endpoints may be replaced; one resend
 *   RESEND_RACE     the agent of endpoint 0 may be replaced; two concurrent resends
 *   NO_FAILURES     nothing fails, no agent refuses an attempt, no resend: a new key must be executed
 */
#ifdef RESEND_RACE
#define RESENDS 2
#else
#define RESENDS 1
#endif

/* The rules. Each is removed by the M_... macro in front of it. */

/* An agent accepts and starts a first attempt only if the first-attempt window has not expired by its clock. */
#ifdef M_RECHECK
#define MAY_START true
#else
#define MAY_START (!windowExpired)
#endif
/* After a pause, an agent accepts no first attempt until a journal write has succeeded. */
#ifdef M_VALIDATE
#define VALID_AFTER_PAUSE true
#else
#define VALID_AFTER_PAUSE false
#endif
/* An entry reports "not run" only while no resend can have been allowed. */
#ifdef M_NOT_RUN
#define MAY_REPORT_NOT_RUN true
#else
#define MAY_REPORT_NOT_RUN (!firstAttemptsClosed)
#endif
/* Evidence counts only if its gathering began after the last time at which a first attempt could start. */
#ifdef M_WINDOW
#define FIRST_ATTEMPTS_CLOSED true
#else
#define FIRST_ATTEMPTS_CLOSED firstAttemptsClosed
#endif
/* A resend is not executed if an agent that answers has a record of the key. */
#ifdef M_HELD
#define HELD_ELSEWHERE false
#else
#define HELD_ELSEWHERE held
#endif
/* A resend is not executed if a journal lists the key. */
#ifdef M_JOURNAL
#define JOURNALED false
#else
#define JOURNALED (journaled[0] || journaled[1] || journaled[2] || journaled[3])
#endif
/* The agent that decides a resend checks that the address of its own endpoint still leads to itself. */
#ifdef M_OWN_ADDRESS
#define CHECKS_OWN_ADDRESS false
#else
#define CHECKS_OWN_ADDRESS true
#endif
/* A resend is executed only if no other agent has claimed the key in the store. */
#ifdef M_CLAIM
#define CLAIM_FREE true
#else
#define CLAIM_FREE (claimant == 0)
#endif
/* A journal covers its endpoint only if its incarnation started before I. */
#ifdef M_START_TIME
#define STARTED_BEFORE_ISSUE(x) true
#else
#define STARTED_BEFORE_ISSUE(x) startedBeforeIssue[x]
#endif
/* An agent must answer at the address of each endpoint. */
#ifdef M_ANSWERS
#define ANSWERS(x) true
#else
#define ANSWERS(x) (x)
#endif
/*
 * Each endpoint must be covered: by the report of an agent, or by a journal whose watermark has passed I + F. Such
 * records contain every run of the key at that endpoint.
 */
#ifdef M_COVERAGE
#define COVERED(e, byReport) true
#else
#define JOURNAL_COVERS(x) (registered[x] && STARTED_BEFORE_ISSUE(x) && watermarkPassed[x])
#define COVERED(e, byReport) ((byReport) || JOURNAL_COVERS(2 * (e)) || JOURNAL_COVERS(2 * (e) + 1))
#endif
/*
 * No incarnation with a journal can still start the key unobserved: the watermark of its journal has passed I + F, it
 * terminated before I, it decides this resend, or it has answered the query of the deciding agent.
 */
#ifdef M_ENDED
#define ENDED(x) true
#else
#define ENDED(x) (!registered[x] || watermarkPassed[x] || terminatedBeforeIssue[x] || ownAgent == x || \
                  (answered && otherAgent == x))
#endif

mtype = { noRecord, queued, running, tombstone, gathering, claimed };

bool firstAttemptsClosed;           /* firstAttemptsClosedAt() has passed by the clock that decides a resend */
bool windowExpired;                 /* the clocks of all agents have passed I + F */
byte current[ENDPOINTS];            /* the incarnation, 0 or 1, that is reached at the endpoint's configured address */
bool alive[INCARNATIONS];
bool startedBeforeIssue[INCARNATIONS];
bool validated[INCARNATIONS];       /* AgentCore::m_validated */
mtype keyState[INCARNATIONS];       /* the key's entry in the incarnation's KeyTable */

bool registered[INCARNATIONS];      /* a journal head is in the store */
bool journaled[INCARNATIONS];       /* the journal lists the key */
bool watermarkPassed[INCARNATIONS]; /* the journal's watermark has passed I + F */
bool sealed[INCARNATIONS];          /* JournalWriter::seal() of a successor lets no further write succeed */
bool terminatedBeforeIssue[INCARNATIONS]; /* the journal's terminatedBy lies before I */
byte claimant;                      /* 0, or 1 + the number of the incarnation that holds the claim in the store */

byte runs;                          /* how often the call with the key has been started */
bool notRunReported;                /* the caller has received "not run" for the first attempt */
bool firstAttemptDone;              /* the entry has finished the first attempt, with any outcome */
bool initialized;                   /* init has set the initial state */
bool returnedNotRun;                /* an agent returned the queued first attempt to the entry as not run */
byte refusals;                      /* refusals of the first attempt by agents */

inline start(i) {
    runs++;
    assert(runs <= 1);
    keyState[i] = running
}

/* Advances the clocks. With M_CLOCK, the clocks of the agents differ by more than the margin. */
active proctype Clocks() {
#ifdef NO_FAILURES
    firstAttemptDone;
#endif
#ifdef M_CLOCK
    firstAttemptsClosed = true;
    windowExpired = true
#else
    windowExpired = true;
    firstAttemptsClosed = true
#endif
}

/* AgentCore::startNext(): the window is checked again immediately before the first byte is sent to the endpoint. */
proctype Agent(byte i) {
end:
    do
    :: atomic { alive[i] && keyState[i] == queued && MAY_START ->
        assert(!notRunReported); /* after "not run", a resend may be executed, so the first attempt must not start */
        start(i) }
    :: atomic { alive[i] && keyState[i] == claimed -> start(i) }
    :: atomic { alive[i] && keyState[i] == queued && windowExpired -> keyState[i] = noRecord }
#ifndef NO_FAILURES
    :: atomic { alive[i] && keyState[i] == queued && !returnedNotRun -> keyState[i] = noRecord; returnedNotRun = true }
#endif
    od
}

/* Whether the next journal write lists the key. With M_LIST, the watermark advances without listing running calls. */
#ifdef M_LIST
#define LISTS(i) false
#else
#define LISTS(i) (keyState[i] == running)
#endif

/* RunJournal::takeWrite() and JournalWriter::perform(). A write happens at any time, or never if the store is down. */
proctype Journal(byte i) {
end:
    do
    :: atomic { alive[i] && !sealed[i] && (!registered[i] || !validated[i] || LISTS(i) > journaled[i] ||
                                           windowExpired > watermarkPassed[i]) ->
        registered[i] = true;
        validated[i] = true;
        journaled[i] = journaled[i] || LISTS(i);
        watermarkPassed[i] = windowExpired }
    od
}

/*
 * An agent crashes, or is paused and assumed to have terminated. Its successor starts, and registers with the store and
 * seals the predecessor's journal if the store is available.
 */
proctype ReplaceAgent(byte endpoint) {
    if
    :: skip /* no replacement */
    :: atomic {
        alive[2 * endpoint] = false;
        current[endpoint] = 1;
        alive[2 * endpoint + 1] = true };
#ifndef BOTH_REPLACED
#ifndef RESEND_RACE
       if
       :: skip
       :: atomic { alive[2 * endpoint] = true; /* the predecessor was only paused, and resumes */
            validated[2 * endpoint] = VALID_AFTER_PAUSE }
       fi;
#endif
#endif
       if
       :: skip
       :: atomic { sealed[2 * endpoint] = registered[2 * endpoint]; registered[2 * endpoint + 1] = true }
       fi
    fi
}

/* EntryCore: the first attempt. It may be delayed at the entry and at each agent for any length of time. */
active proctype FirstAttempt() {
    byte endpoint, agent;
    initialized;
    if :: endpoint = 0 :: endpoint = 1 fi;
tryEndpoint:
    /* An entry may still reach a predecessor that is still running. */
    if :: agent = 2 * endpoint + current[endpoint] :: agent = 2 * endpoint fi;
    atomic {
        if
        :: !alive[agent] -> refusals++; goto refused  /* connection refused: no byte was sent */
#ifndef NO_FAILURES
        :: alive[agent] -> goto finished               /* sent, but no response: outcome unknown */
        :: alive[agent] -> refusals++; goto refused  /* a refusal for another reason */
#endif
        /* AgentCore::handleFirstAttempt() */
        :: alive[agent] && !validated[agent] -> refusals++; goto refused
        :: alive[agent] && validated[agent] && !MAY_START -> goto finished
        :: alive[agent] && validated[agent] && MAY_START && keyState[agent] == noRecord -> keyState[agent] = queued
        :: alive[agent] && keyState[agent] != noRecord -> goto finished
        fi
    };
    /* With M_AWAIT_RESPONSE, the entry may try the other endpoint before this agent has responded. */
#ifdef M_AWAIT_RESPONSE
    if :: refusals++; goto refused :: skip fi;
#endif
    (returnedNotRun || keyState[agent] != queued || !alive[agent]);
    if
    :: atomic { returnedNotRun -> returnedNotRun = false; refusals++ }; goto refused
    :: else -> goto finished
    fi;
refused:
    if
    :: refusals < 2 -> endpoint = 1 - endpoint; goto tryEndpoint
    :: else ->
        atomic {
            /* EntryCore::refusalFor(): "not run" is reported only while no resend can have been allowed. */
            if
            :: MAY_REPORT_NOT_RUN -> assert(runs == 0); notRunReported = true
            :: else
            fi
        }
    fi;
finished:
    firstAttemptDone = true
}

#ifdef NO_FAILURES
/*
 * Liveness: a new key that reaches a live agent within its window is executed. If it is not, this process never ends,
 * which the checker reports as an invalid end state.
 */
active proctype NewKeyRuns() {
    firstAttemptDone && firstAttemptsClosed && runs == 1
}
#endif

#ifndef NO_FAILURES
/* A resend: decideResend() with the evidence of EvidenceCollector, and the claim in the store. */
active [RESENDS] proctype Resend() {
    byte own, ownAgent, other, otherAgent; /* the two endpoints and the incarnations reached at their addresses */
    bool answered, reportCovers, held, proved;
    initialized;
    if :: own = 0 :: own = 1 fi;
    /* An entry may still reach a predecessor that is still running. */
    if :: ownAgent = 2 * own + current[own] :: ownAgent = 2 * own fi;
    other = 1 - own;
    atomic {
        if
        :: alive[ownAgent] && (keyState[ownAgent] == noRecord || keyState[ownAgent] == tombstone) ->
            keyState[ownAgent] = gathering
        :: else -> goto finished
        fi
    };
    /* decideResend(): evidence counts only if its gathering began after the window. */
    if
    :: FIRST_ATTEMPTS_CLOSED -> skip
    :: goto giveUp
    fi;
    /* EvidenceCollector::queryAgents(): an agent is queried at the address of each endpoint, including the own one. */
    atomic {
        if
        :: CHECKS_OWN_ADDRESS && current[own] != ownAgent % 2 -> goto giveUp
        :: else
        fi
    };
    otherAgent = 2 * other + current[other];
    atomic {
        if
        :: alive[otherAgent] ->
            answered = true;
            reportCovers = startedBeforeIssue[otherAgent];
            held = !(keyState[otherAgent] == noRecord || keyState[otherAgent] == tombstone);
            keyState[otherAgent] = (keyState[otherAgent] == noRecord -> tombstone : keyState[otherAgent])
        :: skip /* no response */
        fi
    };
    /*
     * EvidenceCollector::readJournals(), and EvidenceChecker::everyEndpointCovered(), everyIncarnationAccountedFor() and
     * isJournaled()
     */
    atomic {
        if
        :: proved = ANSWERS(answered) && COVERED(own, startedBeforeIssue[ownAgent]) &&
                COVERED(other, answered && reportCovers) && ENDED(0) && ENDED(1) && ENDED(2) && ENDED(3) && !JOURNALED
        :: goto giveUp /* the store is unavailable */
        fi
    };
    if
    :: proved && !HELD_ELSEWHERE -> skip
    :: else -> goto giveUp
    fi;
    /* EvidenceCollector::claim() */
    atomic {
        if
        :: alive[ownAgent] && keyState[ownAgent] == gathering && CLAIM_FREE -> claimant = 1 + ownAgent
        :: goto giveUp /* the store is unavailable, or another agent holds the claim */
        fi
    };
    atomic {
        if
        :: alive[ownAgent] && keyState[ownAgent] == gathering -> keyState[ownAgent] = claimed
        :: else
        fi
    };
    goto finished;
giveUp:
    atomic {
        if
        :: alive[ownAgent] && keyState[ownAgent] == gathering -> keyState[ownAgent] = noRecord
        :: else
        fi
    };
finished:
    atomic {
        answered = false; reportCovers = false; held = false; proved = false;
        ownAgent = 0; otherAgent = 0; own = 0; other = 0
    }
}
#endif

init {
    atomic {
        alive[0] = true; alive[2] = true;
        startedBeforeIssue[0] = true; startedBeforeIssue[2] = true;
        validated[0] = true; validated[1] = true; validated[2] = true; validated[3] = true;
        keyState[0] = noRecord; keyState[1] = noRecord; keyState[2] = noRecord; keyState[3] = noRecord;
        registered[2] = true;
        if
        :: registered[0] = true
        :: registered[0] = false /* it started while the store was unavailable */
        :: /* the agent of endpoint 0 was replaced before I; its predecessor still runs, and has not noticed the seal */
           registered[0] = true; registered[1] = true; sealed[0] = true;
           current[0] = 1; alive[1] = true; startedBeforeIssue[1] = true
        :: /* the same, but terminatedBy of the predecessor lies before I; it was paused and will resume */
           registered[0] = true; registered[1] = true;
           sealed[0] = true; terminatedBeforeIssue[0] = true;
           current[0] = 1; alive[1] = true; startedBeforeIssue[1] = true;
           validated[0] = VALID_AFTER_PAUSE
        fi;
        run Agent(0); run Agent(1); run Agent(2);
        run Journal(0); run Journal(1); run Journal(2);
#ifdef BOTH_REPLACED
        run Agent(3); run Journal(3);
#endif
#ifndef NO_FAILURES
        if
        :: current[0] == 0 -> run ReplaceAgent(0)
        :: else
        fi;
#endif
#ifdef BOTH_REPLACED
        run ReplaceAgent(1);
#endif
        initialized = true
    }
}
