/** The catalogue of numbered log events. docs/LOG-EVENTS.md is generated from it. */

export const logLevels = { debug: "debug", info: "info", warn: "warn", error: "error" } as const;
export type LogLevel = (typeof logLevels)[keyof typeof logLevels];

/** One entry of the catalogue. */
export interface LogEvent {
    /** Number of the event, which never changes its meaning. */
    id: number;
    level: LogLevel;
    /** What happened, and what an operator may do about it. */
    text: string;
}

function defineEvent(id: number, level: LogLevel, text: string): LogEvent {
    return { id, level, text };
}

/** 1xxx process, 2xxx request, 3xxx connection, 4xxx configuration, 5xxx limits, 6xxx fleet, 7xxx platform. */
export const logEvents = {
    processStarted: defineEvent(1001, logLevels.info, "The process listens on its addresses."),
    processStopping: defineEvent(1002, logLevels.info, "The process stops: it accepts nothing new and finishes its requests."),
    processStopped: defineEvent(1003, logLevels.info, "The process has stopped."),
    processStalled: defineEvent(1004, logLevels.warn, "The process was paused; it refreshes its configuration before it serves again."),
    unexpectedError: defineEvent(1005, logLevels.error, "An unexpected error was caught; please report it."),
    requestRouted: defineEvent(2001, logLevels.info, "A request was sent to a backend server."),
    requestRejected: defineEvent(2002, logLevels.info, "A request was refused; 'outcome' tells whether it can have run."),
    requestQueued: defineEvent(2003, logLevels.debug, "A request waits in its queue."),
    requestRetried: defineEvent(2004, logLevels.info, "A request is sent again, to another backend server."),
    requestEnded: defineEvent(2005, logLevels.debug, "A request has ended."),
    requestOutcomeUnknown: defineEvent(2006, logLevels.warn, "The end of a request is unknown; its slot is held for its longest run time."),
    requestForwarded: defineEvent(2007, logLevels.info, "A request was forwarded to the gateway that owns its idempotency key."),
    connectionsRetired: defineEvent(3001, logLevels.warn, "Connections to a backend server were retired: a newer one works."),
    peerConnected: defineEvent(3002, logLevels.info, "A peer of the zone is connected."),
    peerLost: defineEvent(3003, logLevels.warn, "A peer went silent or closed; it is dialled again with growing delay."),
    peerMessageRejected: defineEvent(3004, logLevels.warn, "A peer sent a message that this version does not understand; it was dropped."),
    configurationApplied: defineEvent(4001, logLevels.info, "A newer configuration version is in force in this process."),
    configurationRejected: defineEvent(4002, logLevels.error, "A configuration version could not be read; the held one stays in force."),
    configurationProposed: defineEvent(4003, logLevels.info, "An operator's change was written as a new version."),
    configurationAccepted: defineEvent(4004, logLevels.info, "A configuration version is in force everywhere."),
    configurationRestored: defineEvent(
        4005,
        logLevels.warn,
        "The store held an older version than this process; the newer one was written back.",
    ),
    allotmentChanged: defineEvent(5001, logLevels.info, "The part of a team's limit that this process may run has changed."),
    allotmentReclaimed: defineEvent(5002, logLevels.info, "The allotment of a process that is gone was given back to its team."),
    allotmentFailed: defineEvent(5003, logLevels.warn, "The allotments could not be read or written; the held ones stay in force."),
    serverLeaving: defineEvent(6001, logLevels.info, "A backend server is leaving; it gets no new work."),
    serverReturned: defineEvent(6002, logLevels.info, "A backend server gets work again."),
    serverEjected: defineEvent(6003, logLevels.warn, "A backend server failed too often and gets only probes for a while."),
    dutyAcquired: defineEvent(6004, logLevels.info, "This process holds the lease of a duty and carries it out."),
    dutyLost: defineEvent(6005, logLevels.warn, "This process lost the lease of a duty."),
    memberRemoved: defineEvent(6006, logLevels.info, "A member whose VM is gone, or that was replaced at its address, was removed."),
    schedulingOwnershipAcquired: defineEvent(6101, logLevels.info, "This process owns the scheduling; 'token' fences earlier owners."),
    schedulingOwnershipLost: defineEvent(6102, logLevels.warn, "This process no longer owns the scheduling."),
    schedulingDecided: defineEvent(6103, logLevels.info, "The scheduler decided something about a job, a run or a worker: see 'what'."),
    progressWriteFailed: defineEvent(6104, logLevels.warn, "Progress of jobs could not be written; it is written again."),
    vmOrderAnswered: defineEvent(6105, logLevels.info, "The platform answered an order to move or restart a VM."),
    waveChanged: defineEvent(6106, logLevels.info, "A maintenance wave began, moved on or ended."),
    jobAccepted: defineEvent(2101, logLevels.info, "A job was accepted and is stored."),
    jobCallRejected: defineEvent(2102, logLevels.info, "A call about jobs was refused; 'reason' tells why."),
    jobOutcomeUnknown: defineEvent(
        2103,
        logLevels.warn,
        "Whether the store holds a job or its cancellation is unknown; the caller may ask again.",
    ),
    jobCancelled: defineEvent(2104, logLevels.info, "A job was cancelled by its caller."),
    settingsReloaded: defineEvent(1006, logLevels.info, "The settings were read again."),
    settingsRejected: defineEvent(1007, logLevels.error, "The settings could not be used; see 'findings'."),
    documentUnreadable: defineEvent(4006, logLevels.warn, "A stored document could not be read and is ignored."),
    storeUnavailable: defineEvent(
        7001,
        logLevels.warn,
        "The platform's key-value service does not answer; requests go on with what is held.",
    ),
    storeAvailable: defineEvent(7002, logLevels.info, "The platform's key-value service answers again."),
    watchRestarted: defineEvent(7003, logLevels.warn, "A watch was restarted; its keys were read again."),
    vmListAvailable: defineEvent(7005, logLevels.info, "The platform's VM list answers again."),
    vmListUnavailable: defineEvent(7004, logLevels.warn, "The platform's VM list does not answer; the last one stays in force."),
} as const satisfies Record<string, LogEvent>;
