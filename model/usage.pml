/*
 * Model of the usage report of one window.
 *
 * Two gateways become the holder of the usage duty in turn, record the window's report in the store, and send it to the
 * API. Each counts differently: a body is the number of the process that has collected it. A process may be killed and
 * started again, which collects anew and has no memory. Writes of records and calls to the API are executed at any time
 * after they were sent, or never. The store may be restored once from a copy: revisions go back and are issued again,
 * the holder's key is gone, and the era increases.
 *
 * Time is abstract. `certain` is true while the holder's lease is certainly valid by its boot-time clock; the store
 * expires a lease only afterwards. A gateway that takes no step is frozen. The window ends in either era; that a
 * gateway may know too late that a later era has begun only makes it record less (UsageReports::noteEra).
 *
 * Properties: no two different reports are accepted; no two processes have the same token; a call begins only while no
 * other gateway is the holder in that era. Defining one of the M_... macros gives a mutant: it removes one rule, and
 * the checker must then find a violation. model/check verifies this for each mutant.
 */

#define NONE 0
#define GATEWAYS 2
#define TENURES 3           /* of both gateways together */
#define PROCESS(g) ((g) + 1 + GATEWAYS * life[g])

/* The token contains the era. */
#ifdef M_TOKEN_ERA
#define TOKEN(era, revision) (revision)
#else
#define TOKEN(era, revision) ((era) * 16 + (revision))
#endif
/* A record is written only while the holder's key has the writer's revision. */
#ifdef M_HOLDER_CONDITION
#define HOLDER_UNCHANGED(writeRevision, writeEra) true
#else
/* The era is part of the key's name. */
#ifdef M_KEY_ERA
#define HOLDER_UNCHANGED(writeRevision, writeEra) (holder != NONE && holderRevision == (writeRevision))
#else
#define HOLDER_UNCHANGED(writeRevision, writeEra) (holder != NONE && holderRevision == (writeRevision) && era == (writeEra))
#endif
#endif
/* The first record of a window stays, and a successor takes it over. */
#ifdef M_FIRST_RECORD
#define MAY_WRITE_RECORD(body) (record != (body))
#define ADOPTED NONE
#else
#define MAY_WRITE_RECORD(body) (record == NONE)
#define ADOPTED record
#endif
/* A report is sent only after its record was read or its write confirmed. */
#ifdef M_RECORD_FIRST
#define IS_RECORDED(body) true
#else
#define IS_RECORDED(body) (record != NONE)
#endif
/* In a later era, a window is recorded only by a gateway that knows its report, or that it has none. */
#ifdef M_ERA_KNOWLEDGE
#define IS_RECORDABLE(g) true
#else
#define IS_RECORDABLE(g) (endedIn == myEra || knowsAll[g])
#endif
/* A gateway knows that a window has no report only if its lease was certainly valid when it saw the new era. */
#ifdef M_HELD_AT_RESTORE
#define HELD_AT_RESTORE(g) true
#else
#define HELD_AT_RESTORE(g) certain[g]
#endif
/* A gateway remembers only confirmed records as reports. */
#ifdef M_CONFIRMED
#define REMEMBERED_AFTER_WRITE(g, body) body
#else
#define REMEMBERED_AFTER_WRITE(g, body) known[g]
#endif
/* The holder acts only while its lease is certainly valid. */
#ifdef M_CERTAIN
#define MAY_ACT(g) true
#else
#define MAY_ACT(g) certain[g]
#endif
/* A report that differs from a remembered one isn't sent. The other rules prevent that there is one. */
#define CONFLICTS(g) (known[g] != NONE && known[g] != record)

byte era = 1;
byte revision = 1;
byte holder;                /* 1 + the number of the gateway whose key of the present era is in the store, or NONE */
byte holderRevision;
byte record;                /* the body in the window's record, or NONE */
byte copyRevision, copyRecord;

byte endedIn;               /* the era in which the window has ended; 0 before its end */
byte highestToken;          /* that the API has seen */
byte accepted;              /* the body that the API has accepted, or NONE */
byte processOf[64];         /* by token: the process that was the holder with it */

byte life[GATEWAYS];        /* 0 or 1: the gateway's first or second process */
bool certain[GATEWAYS];
byte known[GATEWAYS];       /* UsageReports::State::isSettled: the body that the process knows to be recorded */
bool hasRead[GATEWAYS];     /* the process has read the records in this tenure */
bool knowsAll[GATEWAYS];    /* the process knows what was recorded in the earlier era */
byte seenEra[GATEWAYS];

/* By tenure: the holder's key, and the write of a record and the call to the API that are on their way, or NONE. */
byte tenures;
byte keyRevision[TENURES], keyEra[TENURES];
byte writeBody[TENURES], callBody[TENURES];

/* UsageReports::noteEra() */
inline noteEra(g) {
    if
    :: era > seenEra[g] ->
        knowsAll[g] = hasRead[g] && HELD_AT_RESTORE(g);
        seenEra[g] = era
    :: else
    fi
}

/* UsageDuty: tenures of a gateway, one after the other */
proctype Gateway(byte g) {
    byte my, myEra, token;
end:
    do
        /* DutyLease: the key is written only if it doesn't exist. Responses are known to be the gateway's own. */
    :: atomic {
            holder == NONE && tenures < TENURES ->
            my = tenures;
            tenures++;
            noteEra(g);
            revision++;
            holder = g + 1;
            holderRevision = revision;
            myEra = era;
            keyRevision[my] = revision;
            keyEra[my] = era;
            certain[g] = true;
            hasRead[g] = false;
            token = TOKEN(era, revision);
            assert(processOf[token] == NONE || processOf[token] == PROCESS(g));
            processOf[token] = PROCESS(g)
        };
        do
        :: atomic {
            /* A response states a new era, or the lease isn't certain any more. */
            if
            :: era != myEra -> noteEra(g); break
            :: era == myEra && !MAY_ACT(g) -> break
            :: else
            fi;
            if
            /* UsageReports::begin() */
            :: !hasRead[g] ->
                hasRead[g] = true;
                if
                :: record != NONE && !CONFLICTS(g) -> known[g] = ADOPTED
                :: else
                fi
            /* UsageDuty::writeRecord() */
            :: hasRead[g] && known[g] != NONE && MAY_WRITE_RECORD(known[g]) && writeBody[my] == NONE -> writeBody[my] = known[g]
            :: hasRead[g] && known[g] == NONE && MAY_WRITE_RECORD(PROCESS(g)) && writeBody[my] == NONE && endedIn != 0 &&
               IS_RECORDABLE(g) ->
                writeBody[my] = PROCESS(g);
                known[g] = REMEMBERED_AFTER_WRITE(g, PROCESS(g))
            /* UsageDuty::noteRecorded(), after the response to the write or a read of the record */
            :: hasRead[g] && record != NONE && known[g] == NONE -> known[g] = record
            /* UsageDuty::sendReport() */
            :: hasRead[g] && known[g] != NONE && IS_RECORDED(known[g]) && (record == NONE || !CONFLICTS(g)) && callBody[my] == NONE ->
                assert(holder == g + 1);
                callBody[my] = known[g]
#ifdef M_RECORD_FIRST
            :: hasRead[g] && known[g] == NONE && endedIn != 0 && IS_RECORDABLE(g) -> callBody[my] = PROCESS(g)
#endif
            :: break
            fi
        }
        od;
        atomic {
            certain[g] = false;
            hasRead[g] = false;
            if
            :: skip
            /* It is killed, and another process starts in its place. */
            :: life[g] == 0 ->
                life[g] = 1;
                known[g] = NONE;
                knowsAll[g] = false;
                seenEra[g] = era
            fi
        }
    od
}

/* Executes writes and calls that are on their way. One that isn't executed until the end is lost. */
inline executeWrite(t) {
    if
    :: MAY_WRITE_RECORD(writeBody[t]) && HOLDER_UNCHANGED(keyRevision[t], keyEra[t]) ->
        record = writeBody[t];
        revision++
    :: else
    fi;
    writeBody[t] = NONE
}

inline executeCall(t) {
    if
    :: TOKEN(keyEra[t], keyRevision[t]) >= highestToken ->
        highestToken = TOKEN(keyEra[t], keyRevision[t]);
        assert(accepted == NONE || accepted == callBody[t]);
        accepted = callBody[t]
    :: else
    fi;
    callBody[t] = NONE
}

proctype Network() {
end:
    do
    :: atomic { writeBody[0] != NONE -> executeWrite(0) }
    :: atomic { writeBody[1] != NONE -> executeWrite(1) }
    :: atomic { writeBody[2] != NONE -> executeWrite(2) }
    :: atomic { callBody[0] != NONE -> executeCall(0) }
    :: atomic { callBody[1] != NONE -> executeCall(1) }
    :: atomic { callBody[2] != NONE -> executeCall(2) }
    od
}

/* Clocks and the store: a lease expires only after its holder isn't certain of it any more. */
proctype Time() {
end:
    do
    :: atomic { endedIn == 0 -> endedIn = era }
    :: atomic { certain[0] -> certain[0] = false }
    :: atomic { certain[1] -> certain[1] = false }
    :: atomic { holder != NONE && !certain[holder - 1] -> holder = NONE; holderRevision = 0 }
    od
}

proctype RestoreStore() {
    atomic { copyRevision = revision; copyRecord = record };
    atomic {
        era++;
        revision = copyRevision;
        record = copyRecord;
        holder = NONE;
        holderRevision = 0
    }
}

init {
    atomic {
        seenEra[0] = 1;
        seenEra[1] = 1;
        run Gateway(0);
        run Gateway(1);
        run Network();
        run Time();
        run RestoreStore()
    }
}
