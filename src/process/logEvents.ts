/** Catalogue of numbered log events. docs/LOG-EVENTS.md is generated from it. */

export const logLevels = { debug: "debug", info: "info", warn: "warn", error: "error" } as const;
export type LogLevel = (typeof logLevels)[keyof typeof logLevels];

export interface LogEvent {
    /** Stable number of the event; its meaning never changes. */
    id: number;
    level: LogLevel;
    /** What happened, and what an operator can do about it. */
    text: string;
}

function defineEvent(id: number, level: LogLevel, text: string): LogEvent {
    return { id, level, text };
}

/** 1xxx process, 2xxx request, 3xxx connection, 4xxx configuration, 5xxx limits, 6xxx fleet, 7xxx platform. */
export const logEvents = {
    processStarted: defineEvent(1001, logLevels.info, "The process listens on its addresses."),
    processStopping: defineEvent(
        1002,
        logLevels.info,
        "The process is shutting down: it stops accepting requests and finishes the running ones.",
    ),
    processStopped: defineEvent(1003, logLevels.info, "The process has stopped."),
    processStalled: defineEvent(1004, logLevels.warn, "The process was paused; it refreshes its configuration before it serves again."),
    unexpectedError: defineEvent(1005, logLevels.error, "An unexpected error was caught; please report it."),
    requestRouted: defineEvent(2001, logLevels.info, "A request was sent to a backend server."),
    requestRejected: defineEvent(2002, logLevels.info, "A request was rejected; 'outcome' tells whether it may have run."),
    requestQueued: defineEvent(2003, logLevels.debug, "A request was queued."),
    requestRetried: defineEvent(2004, logLevels.info, "A request is retried on another backend server."),
    requestEnded: defineEvent(2005, logLevels.debug, "A request has ended."),
    requestOutcomeUnknown: defineEvent(
        2006,
        logLevels.warn,
        "The outcome of a request is unknown; its slots stay reserved until its longest run time has passed.",
    ),
    requestForwarded: defineEvent(2007, logLevels.info, "A request was forwarded to the gateway that owns its idempotency key."),
    connectionsRetired: defineEvent(3001, logLevels.warn, "Connections to a backend server were retired because a newer connection works."),
    peerConnected: defineEvent(3002, logLevels.info, "A peer of the zone is connected."),
    peerLost: defineEvent(
        3003,
        logLevels.warn,
        "The connection to a peer timed out or closed; reconnection attempts back off exponentially.",
    ),
    peerMessageRejected: defineEvent(3004, logLevels.warn, "A peer sent a message that this version does not understand; it was dropped."),
    configurationApplied: defineEvent(4001, logLevels.info, "A newer configuration version was applied in this process."),
    configurationRejected: defineEvent(4002, logLevels.error, "A configuration version is invalid; the current one stays in effect."),
    configurationProposed: defineEvent(4003, logLevels.info, "An operator's change was written as a new version."),
    configurationAccepted: defineEvent(4004, logLevels.info, "A configuration version was applied by every live process."),
    configurationRestored: defineEvent(
        4005,
        logLevels.warn,
        "The store held an older version than this process; the newer one was written back.",
    ),
    allotmentChanged: defineEvent(5001, logLevels.info, "The share of a team's limit that this process may use has changed."),
    allotmentReclaimed: defineEvent(5002, logLevels.info, "The allotment of a process that is gone was returned to its team."),
    allotmentFailed: defineEvent(5003, logLevels.warn, "The allotments could not be read or written; the current ones stay in effect."),
    serverLeaving: defineEvent(6001, logLevels.info, "A backend server is leaving; it receives no new requests."),
    serverReturned: defineEvent(6002, logLevels.info, "A backend server receives new requests again."),
    serverEjected: defineEvent(
        6003,
        logLevels.warn,
        "A backend server was ejected after repeated failures; for a while it receives only probe requests.",
    ),
    dutyAcquired: defineEvent(6004, logLevels.info, "This process acquired the lease of a duty and performs it."),
    dutyLost: defineEvent(6005, logLevels.warn, "This process lost the lease of a duty."),
    memberRemoved: defineEvent(6006, logLevels.info, "A member whose VM is gone, or that was replaced at its address, was removed."),
    schedulingOwnershipAcquired: defineEvent(
        6101,
        logLevels.info,
        "This process became the owner of the scheduling; 'token' is its fencing token, and after 'formerOwnersEndInMs' no earlier owner sends commands.",
    ),
    schedulingOwnershipLost: defineEvent(6102, logLevels.warn, "This process is no longer the owner of the scheduling."),
    schedulingDecided: defineEvent(6103, logLevels.info, "The scheduler made a decision about a job, a run or a worker; see 'what'."),
    progressWriteFailed: defineEvent(6104, logLevels.warn, "Job progress could not be written; the write is retried."),
    vmOrderAnswered: defineEvent(6105, logLevels.info, "The platform responded to a request to move or restart a VM."),
    waveChanged: defineEvent(6106, logLevels.info, "A maintenance wave started, progressed or ended."),
    schedulingSummarized: defineEvent(
        6107,
        logLevels.info,
        "Load of the process that owns the scheduling since the previous summary, and what waits and runs in each pool.",
    ),
    poolDemandSummarized: defineEvent(
        6108,
        logLevels.info,
        "How many VMs each pool needs and has, from what demand, and how many VMs are not counted, as the owner of the scheduling sees it.",
    ),
    retainedPoliciesWriteFailed: defineEvent(
        6109,
        logLevels.warn,
        "The policies of removed queues and teams that have unfinished jobs could not be written; the write is repeated.",
    ),
    vmWorkDelayed: defineEvent(
        6110,
        logLevels.warn,
        "No moves of VMs were planned for 'delayMs'; 'activeParts' lists the work on VMs that is waiting for responses, and 'leaseAgeMs' tells how long the lease has not been confirmed.",
    ),
    schedulingTermStarted: defineEvent(
        6111,
        logLevels.info,
        "The scheduler of a term has started with the jobs and workers that this process knew at 'mirrorRevision'; 'heldBackJobsCount' jobs wait for workers of which it does not know yet what they run.",
    ),
    schedulingTermEnded: defineEvent(
        6112,
        logLevels.info,
        "The scheduler of a term has ended; 'unsavedEndsCount' ends of runs were not known to be stored, of the jobs in 'unsavedEndJobIds'.",
    ),
    jobAccepted: defineEvent(
        2101,
        logLevels.info,
        "A job was accepted and is stored since 'revision'; 'origin' tells whether this call stored it.",
    ),
    jobCallRejected: defineEvent(
        2102,
        logLevels.info,
        "A call of the job API was rejected; 'reason' tells why. With status 410, 'readRevision' is the store's revision of the answer.",
    ),
    jobOutcomeUnknown: defineEvent(
        2103,
        logLevels.warn,
        "It is unknown whether the store holds a job or its cancellation; the caller may retry.",
    ),
    jobCancelled: defineEvent(2104, logLevels.info, "A job was cancelled by its caller."),
    settingsReloaded: defineEvent(1006, logLevels.info, "The settings were reloaded."),
    readinessChanged: defineEvent(
        1008,
        logLevels.info,
        "The process has become ready for callers, or is no longer ready ('isReady'); the figures are those that decide it.",
    ),
    settingsRejected: defineEvent(1007, logLevels.error, "The settings are invalid; see 'findings'."),
    documentUnreadable: defineEvent(4006, logLevels.warn, "A stored document could not be parsed and is ignored."),
    storeUnavailable: defineEvent(
        7001,
        logLevels.warn,
        "The platform's key-value service does not respond; requests are served with the state in memory.",
    ),
    storeAvailable: defineEvent(7002, logLevels.info, "The platform's key-value service responds again."),
    watchRestarted: defineEvent(7003, logLevels.warn, "A watch was restarted and its keys were reread."),
    changesReceivedLate: defineEvent(
        7006,
        logLevels.info,
        "A watch returned many changes, or the first ones after a gap; 'newestKnownRevision' is the newest that the store has reported.",
    ),
    watchFailed: defineEvent(
        7011,
        logLevels.warn,
        "A call of a watch failed and is repeated; repeated failures in a row are logged at intervals.",
    ),
    watchRecovered: defineEvent(7012, logLevels.info, "A watch responds again after failed calls."),
    serviceRefusesProcess: defineEvent(
        7007,
        logLevels.warn,
        "The platform's key-value service does not serve this process; calls go through other processes while these are served.",
    ),
    serviceServesProcess: defineEvent(7008, logLevels.info, "The platform's key-value service serves this process again."),
    callsPassedOn: defineEvent(
        7009,
        logLevels.info,
        "Another process passes on this process's calls of the key-value service; see 'neighbour'.",
    ),
    relayMessageInvalid: defineEvent(
        7010,
        logLevels.warn,
        "A link on which processes pass on calls was closed, because it failed or a message on it could not be read.",
    ),
    zoneEvacuationBegan: defineEvent(
        7101,
        logLevels.warn,
        "The operator evacuates an availability zone; nothing starts on its workers until that is revoked.",
    ),
    zoneEvacuationEnded: defineEvent(
        7102,
        logLevels.info,
        "The evacuation of an availability zone was revoked; its workers get starts again.",
    ),
    startsWithheld: defineEvent(
        7103,
        logLevels.warn,
        "The owner of the scheduling sends no starts: its copy of the operator's keys is too old to rule out a new evacuation.",
    ),
    startsResumed: defineEvent(7104, logLevels.info, "The owner of the scheduling sends starts again after it had withheld them."),
    zoneEvacuationProgressed: defineEvent(
        7105,
        logLevels.info,
        "What still runs in the evacuated zones, as the owner of the scheduling sees it; logged on change, at most once a second.",
    ),
    reservationMade: defineEvent(
        7131,
        logLevels.info,
        "Capacity of a pool was reserved for a large step; 'detail' tells how much, on how many workers and when it is expected to be free. At most ten lines a second; 'omittedCount' tells how many were left out.",
    ),
    reservationExpired: defineEvent(
        7132,
        logLevels.info,
        "A reservation was given up because its step could not start in time; other work goes first for a while. At most ten lines a second.",
    ),
    connectionsLimited: defineEvent(
        7141,
        logLevels.warn,
        "A listener has as many connections as its limit; connections were closed or answered 503. 'count' is that since the last line.",
    ),
    pendingRequestsLimited: defineEvent(
        7142,
        logLevels.warn,
        "Clients sent too many requests on one connection without waiting for the responses; they were answered 429 and disconnected.",
    ),
    unreadResponsesLimited: defineEvent(7143, logLevels.warn, "Clients that do not read their responses were disconnected."),
    bodyBytesLimited: defineEvent(
        7144,
        logLevels.warn,
        "The bodies that are received at the same time reached their limit; the largest were answered 503 and nothing of them was run.",
    ),
    bodyProgressLimited: defineEvent(7145, logLevels.warn, "Clients that stopped sending within a body were answered 408."),
    fragmentedBodiesLimited: defineEvent(
        7146,
        logLevels.warn,
        "Several bodies arrive in chunks of a few bytes, which cost much time; further ones were refused and nothing of them was run.",
    ),
    requestHeapLimited: defineEvent(
        7147,
        logLevels.warn,
        "The requests in progress hold what the process leaves of its heap; the largest were disconnected, or answered 503 and not run.",
    ),
    jobRefused: defineEvent(
        7121,
        logLevels.info,
        "A submission was refused because of load: its predicted end is beyond 'latestEndMs', when it has no value; times are from now, and the store holds the refusal since 'revision'.",
    ),
    loadSheddingStarted: defineEvent(
        7122,
        logLevels.warn,
        "Pools have more work than they can serve: the owner of the scheduling has published from what size and when jobs would start.",
    ),
    loadSheddingEnded: defineEvent(
        7123,
        logLevels.info,
        "The owner of the scheduling has withdrawn its summary of the load; no more jobs are refused.",
    ),
    loadSummaryWriteFailed: defineEvent(
        7124,
        logLevels.warn,
        "The summary of the load could not be written; processes refuse nothing once the last one is 2.5 s old.",
    ),
    vmListAvailable: defineEvent(7005, logLevels.info, "The platform's VM list responds again."),
    vmListUnavailable: defineEvent(7004, logLevels.warn, "The platform's VM list does not respond; the last one received stays in effect."),
} as const satisfies Record<string, LogEvent>;
