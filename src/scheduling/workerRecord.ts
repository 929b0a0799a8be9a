/** The scheduler's state of one worker: its resources, its runs, and which of its reported ends are stored. */
import { type Suspicion, suspicions } from "./crashCounts.js";
import type { CrashSuspect } from "./crashSuspect.js";
import { addResources, type Resources } from "./jobTypes.js";
import { startValidityMs } from "./leases.js";

/** A worker's entry in the store. */
export interface WorkerEntry {
    workerId: string;
    /** Start of this incarnation, in Unix milliseconds; a different value under the same id is another incarnation. */
    bornWallMs: number;
    address: string;
    poolName: string;
    zone: string;
    rack: string;
    labels: readonly string[];
    capacity: Resources;
    isDraining: boolean;
}

/** One life of a worker: after a restart, another incarnation may have the same id. */
export type WorkerIncarnation = Pick<WorkerEntry, "workerId" | "bornWallMs">;

export const runPhases = {
    /** Resources are reserved, and the start is sent once the store lists the worker for the job. */
    planned: "planned",
    /** The start was sent and has no response yet. */
    starting: "starting",
    running: "running",
    /** The start got no response; it is not known whether the run exists or will exist. */
    unsettled: "unsettled",
    /** A stop was sent. */
    stopping: "stopping",
} as const;
export type RunPhase = (typeof runPhases)[keyof typeof runPhases];

/** A run of a task on a worker. */
export interface Run {
    taskName: string;
    jobId: string;
    occurrence: number;
    stepIndex: number;
    taskIndex: number;
    runId: number;
    workerId: string;
    phase: RunPhase;
    /** Whether the task serves users until its job is cancelled. */
    isServing: boolean;
    /** Whether the task uses only CPU time that other tasks leave idle. */
    isFiller: boolean;
    teamName: string | undefined;
    /** Counts toward the team's limit. */
    requested: Resources;
    /** Counts toward the worker's capacity. */
    reserved: Resources;
    /** Whether the run may take anything up to the whole worker, because its job is not known. */
    isSizeUnknown: boolean;
    /** The incarnation of the worker that the start was meant for; `undefined` before it is sent. */
    sentToBornWallMs: number | undefined;
    /** When the start was sent; long ago for a run whose age is unknown, because an earlier owner started it. */
    startedAtMs: number;
    /** For how long the start was valid, and its lease lasts at least, on the worker's clock. */
    startValidityMs: number;
    /** What the crashes under earlier runs of the task say about it. */
    suspicion: Suspicion;
    /** Version of the job's progress to store before the start is sent, with earlier failures and what the next crash needs to be counted. */
    requiredVersion: number;
    /** The run as it was when the worker restarted, if that was after the start and the worker has not listed the run since. */
    suspectOfRestart: CrashSuspect | undefined;
    /** Known only from a snapshot by an earlier owner; the worker has not responded since. */
    isPresumed: boolean;
    /**
     * Whether a listing of the worker's incarnation has shown the run. If not, the start may still be in transit, or a newer incarnation
     * may have accepted it: the response to a start does not tell which one did.
     */
    isStartConfirmed: boolean;
    /** Whether the worker has responded that it accepts the start. */
    isStartAccepted: boolean;
    /** Started by an earlier owner, which may also have sent a stop. */
    isAdopted: boolean;
    /** When the worker responded to the start or the stop: a listing requested later must show the run or its end. */
    respondedAtMs: number | undefined;
    /** Speed of a long-running task as a percentage of full speed. */
    percent: number;
    /** Tail latency in milliseconds for a serving task, CPU usage in millicores for any other. */
    measured: number;
    pacePercent: number;
    checkpoint: string;
}

/** A reported end that is not stored yet; the worker repeats it until it is acknowledged. */
interface UnsavedEnd {
    endNumber: number;
    jobId: string;
    /** Version of the job's progress that includes the end. */
    version: number;
    /** The run, if its task must not start again before the end is known. */
    decisiveRun: Pick<Run, "taskName" | "runId"> | undefined;
}

export interface WorkerRecord {
    entry: WorkerEntry;
    /** Whether the store holds the entry now. */
    isRegistered: boolean;
    /** Whether the entry describes the present incarnation; the former one may have been of another kind. */
    isEntryCurrent: boolean;
    /** Whether the entry was removed while the worker responded, as one does that leaves in order. */
    hasLeft: boolean;
    /** Number of fencing tokens that the worker had before the present one, in this term; each incarnation has others. */
    formerTokensCount: number;
    /** Whether a listing with the present token has acknowledged ends. */
    hasTokenAcknowledged: boolean;
    /**
     * Whether this incarnation has listed its runs in response to a command with its own fencing token. Since then, it refuses all commands
     * that were sent to earlier incarnations, or by earlier owners.
     */
    hasListed: boolean;
    /** When a response came by another clock, so that it may have restarted; `undefined` once a later listing has shown this incarnation. */
    doubtedAtMs: number | undefined;
    /** Whether the runs on the worker are known, usually because it has responded to this owner, which fences earlier ones. */
    isRunStateKnown: boolean;
    used: Resources;
    /** Runs whose size is unknown; while there are any, the worker has no room. */
    unknownSizeCount: number;
    /** Long-running tasks on the worker, and the CPU that they have reserved. */
    longRunningCount: number;
    longRunningCpuMillicores: number;
    /** Runs by `runKey`. */
    runs: Map<string, Run>;
    /** Runs of tasks under which workers have crashed. */
    suspectRuns: Set<Run>;
    /** Highest end number that was processed. */
    lastEndNumber: number;
    unsavedEnds: UnsavedEnd[];
    /** Up to which number ends were acknowledged to this incarnation, and are forgotten as its latest listing shows. */
    acknowledgedEndNumber: number;
    forgottenEndNumber: number;
    /** Since when starts under way have kept ends from being acknowledged; `undefined` if none are held up. */
    acknowledgementHeldUpSinceMs: number | undefined;
    lastResponseAtMs: number | undefined;
    /** When the address of the worker first refused or ended a connection; all calls since then have ended so. */
    disconnectedAtMs: number | undefined;
    /** When another worker registered at the address; a worker that goes on keeps its address. */
    addressTakenAtMs: number | undefined;
    /** When this incarnation last listed its runs or accepted a command. */
    lastContactAtMs: number | undefined;
    /** Runs that were lost with their leases while the worker did not respond; it may have crashed under them. */
    unexplainedRuns: CrashSuspect[];
    /** Time of the first response in this term: since then, the worker refuses commands of earlier owners. */
    fencedSinceMs: number | undefined;
    /**
     * Whether this incarnation has responded while the ownership was proven. A worker forgets all tokens when it restarts, so one that
     * has responded only since then may obey this process although a newer owner has contacted its previous incarnation.
     */
    hasRespondedToProvenOwner: boolean;
    /** After this time, all listed runs on the worker have lost their leases, unless it responds in the meantime. */
    leaseEndsAtMs: number;
    /** When runs that no listing has shown have lost their leases too; commands for another incarnation may have granted them. */
    strayLeasesEndAtMs: number;
    /** Until this time, no run on this incarnation can have lost its lease: the worker has confirmed it. */
    leaseHeldUntilMs: number;
    /** Jobs with a failed run on this worker since a run last succeeded here. */
    failedJobIds: Set<string>;
    /** The worker gets no new runs until then. */
    avoidedUntilMs: number;
    /** When the worker stopped responding; `undefined` while it responds. */
    unresponsiveSinceMs: number | undefined;
    /** Whether the store holds a snapshot of the worker; it gets new runs only if this is `none`. */
    snapshotState: "none" | "changing" | "written";
    /** When the pace of its fillers was last evaluated. */
    pacedAtMs: number;
    /** Gets no new runs because its VM is to be moved or restarted. */
    isCordoned: boolean;
    /** Whether a command that ends everything on its VM was sent. */
    isVmStopping: boolean;
    /** Whether such a command was carried out: this incarnation runs nothing and will not respond again. */
    hasEnded: boolean;
}

export function createWorkerRecord(entry: WorkerEntry, leaseEndsAtMs: number): WorkerRecord {
    return {
        entry,
        isRegistered: true,
        isEntryCurrent: true,
        hasLeft: false,
        formerTokensCount: 0,
        hasTokenAcknowledged: false,
        hasListed: false,
        doubtedAtMs: undefined,
        isRunStateKnown: false,
        used: { cpuMillicores: 0, memoryMb: 0, accelerators: 0 },
        unknownSizeCount: 0,
        longRunningCount: 0,
        longRunningCpuMillicores: 0,
        runs: new Map(),
        suspectRuns: new Set(),
        lastEndNumber: 0,
        unsavedEnds: [],
        acknowledgedEndNumber: 0,
        forgottenEndNumber: 0,
        acknowledgementHeldUpSinceMs: undefined,
        lastResponseAtMs: undefined,
        disconnectedAtMs: undefined,
        addressTakenAtMs: undefined,
        lastContactAtMs: undefined,
        unexplainedRuns: [],
        fencedSinceMs: undefined,
        hasRespondedToProvenOwner: false,
        leaseEndsAtMs,
        strayLeasesEndAtMs: Number.NEGATIVE_INFINITY,
        leaseHeldUntilMs: Number.NEGATIVE_INFINITY,
        failedJobIds: new Set(),
        avoidedUntilMs: 0,
        unresponsiveSinceMs: undefined,
        snapshotState: "none",
        pacedAtMs: Number.NEGATIVE_INFINITY,
        isCordoned: false,
        isVmStopping: false,
        hasEnded: false,
    };
}

/** Identifies a run; its other properties follow from its step. */
export type RunIdentity = Pick<Run, "taskName" | "jobId" | "occurrence" | "stepIndex" | "taskIndex" | "runId" | "workerId">;

/** What follows for a run from its step and its task. */
export type RunNeeds = Pick<Run, "isServing" | "isFiller" | "teamName" | "requested" | "reserved" | "isSizeUnknown" | "suspicion">;

/** Creates the record of a run that is known only from its start, a listing or a snapshot. */
export function createRun(
    identity: RunIdentity,
    needs: RunNeeds,
    nowMs: number,
): Run {
    return {
        taskName: identity.taskName,
        jobId: identity.jobId,
        occurrence: identity.occurrence,
        stepIndex: identity.stepIndex,
        taskIndex: identity.taskIndex,
        runId: identity.runId,
        workerId: identity.workerId,
        isServing: needs.isServing,
        isFiller: needs.isFiller,
        teamName: needs.teamName,
        requested: needs.requested,
        reserved: needs.reserved,
        isSizeUnknown: needs.isSizeUnknown,
        phase: runPhases.planned,
        sentToBornWallMs: undefined,
        startedAtMs: nowMs,
        startValidityMs,
        suspicion: needs.suspicion,
        requiredVersion: 0,
        suspectOfRestart: undefined,
        isPresumed: false,
        isStartConfirmed: false,
        isStartAccepted: false,
        isAdopted: false,
        respondedAtMs: undefined,
        percent: 0,
        measured: 0,
        pacePercent: 100,
        checkpoint: "",
    };
}

export function runKey(taskName: string, runId: number): string {
    return `${taskName}#${runId}`;
}

function reserve(worker: WorkerRecord, run: Run, factor: 1 | -1): void {
    addResources(worker.used, run.reserved, factor);
    worker.unknownSizeCount += run.isSizeUnknown ? factor : 0;
    if (run.isServing) {
        worker.longRunningCount += factor;
        worker.longRunningCpuMillicores += factor * run.reserved.cpuMillicores;
    }
}

export function addRun(worker: WorkerRecord, run: Run): void {
    worker.runs.set(runKey(run.taskName, run.runId), run);
    if (run.suspicion !== suspicions.none) {
        worker.suspectRuns.add(run);
    }
    reserve(worker, run, 1);
}

export function removeRun(worker: WorkerRecord, run: Run): void {
    if (worker.runs.delete(runKey(run.taskName, run.runId))) {
        worker.suspectRuns.delete(run);
        reserve(worker, run, -1);
    }
}

/** Whether the start was meant for a former incarnation of the worker; it may have begun on this one all the same. */
export function isOfFormerIncarnation({ entry }: WorkerRecord, run: Run): boolean {
    return run.sentToBornWallMs !== undefined && run.sentToBornWallMs < entry.bornWallMs;
}
