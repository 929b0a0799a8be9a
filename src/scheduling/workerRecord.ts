/** What the scheduler holds of one worker: its room, its runs, and which of its reported ends are safe in the store. */
import { addResources, type Resources } from "./jobTypes.js";

/** A worker as it announces itself. */
export interface WorkerEntry {
    workerId: string;
    /** Start of this life, in Unix milliseconds; another value under the same id is another life. */
    bornWallMs: number;
    address: string;
    poolName: string;
    zone: string;
    rack: string;
    labels: readonly string[];
    capacity: Resources;
    isDraining: boolean;
}

export const runPhases = {
    /** Has its room, and waits until the store holds that the job may run there; nothing was sent. */
    planned: "planned",
    /** The order to start has no answer yet. */
    starting: "starting",
    running: "running",
    /** The order to start was lost; whether the run exists, or will, is not known. */
    unsettled: "unsettled",
    /** An order to stop was sent. */
    stopping: "stopping",
} as const;
export type RunPhase = (typeof runPhases)[keyof typeof runPhases];

/** One run of one task on one worker. */
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
    teamName: string | undefined;
    /** Counts toward the team's limit. */
    requested: Resources;
    /** Counts toward the worker's room. */
    reserved: Resources;
    startedAtMs: number;
    /** Known only from an earlier owner's note; the worker has not been heard of since. */
    isPresumed: boolean;
    /** Whether the worker is known to have begun the run; if not, its order may still be under way. */
    isStartConfirmed: boolean;
    /** Started by an earlier owner, which may have ordered it to stop. */
    isAdopted: boolean;
    /** When the start or the stop was answered: a listing asked for later must show the run or its end. */
    respondedAtMs: number | undefined;
    /** Part of full speed at which a long-running task works, 0 to 100. */
    percent: number;
    /** Tail latency of a serving task in milliseconds, processor use in millicores of any other. */
    measured: number;
    pacePercent: number;
    checkpoint: string;
}

/** An end that the worker repeats until it is acknowledged. */
interface UnsavedEnd {
    endNumber: number;
    jobId: string;
    /** Version of the job's progress that holds the end. */
    version: number;
}

export interface WorkerRecord {
    entry: WorkerEntry;
    /** Whether the entry stands in the store now. */
    isRegistered: boolean;
    /** Whether the worker has answered the present owner, which fences earlier ones. */
    isRunStateKnown: boolean;
    used: Resources;
    /** Runs by task name and run id. */
    runs: Map<string, Run>;
    /** Highest number of an end that was processed. */
    lastEndNumber: number;
    unsavedEnds: UnsavedEnd[];
    lastResponseAtMs: number | undefined;
    /** Its first answer in this term: since then it refuses the orders of earlier owners. */
    fencedSinceMs: number | undefined;
    /** By then, without another answer, all that runs there has lost its lease. */
    leaseEndsAtMs: number;
    /** Jobs of which a run failed since one was done here. */
    failedJobIds: Set<string>;
    /** Until then the worker gets no new runs. */
    avoidedUntilMs: number;
    /** Since when it does not answer; `undefined` while it does. */
    unresponsiveSinceMs: number | undefined;
    /** Whether the store holds a note of its silence; without `none` it gets no new runs. */
    snapshotState: "none" | "changing" | "written";
    /** When the pace of its fillers was last reconsidered. */
    pacedAtMs: number;
    /** Kept free because its VM is to be moved or restarted. */
    isCordoned: boolean;
    /** An order that ends everything on its VM was sent. */
    isVmStopping: boolean;
}

export function createWorkerRecord(entry: WorkerEntry, leaseEndsAtMs: number): WorkerRecord {
    return {
        entry,
        isRegistered: true,
        isRunStateKnown: false,
        used: { cpuMillicores: 0, memoryMb: 0, accelerators: 0 },
        runs: new Map(),
        lastEndNumber: 0,
        unsavedEnds: [],
        lastResponseAtMs: undefined,
        fencedSinceMs: undefined,
        leaseEndsAtMs,
        failedJobIds: new Set(),
        avoidedUntilMs: 0,
        unresponsiveSinceMs: undefined,
        snapshotState: "none",
        pacedAtMs: Number.NEGATIVE_INFINITY,
        isCordoned: false,
        isVmStopping: false,
    };
}

/** What tells a run from others; the rest follows from its step. */
export type RunIdentity = Pick<Run, "taskName" | "jobId" | "occurrence" | "stepIndex" | "taskIndex" | "runId" | "workerId">;

/** Creates the record of a run of which only the order, a listing or a note is known yet. */
export function createRun(place: RunIdentity, needs: Pick<Run, "isServing" | "teamName" | "requested" | "reserved">, nowMs: number): Run {
    return {
        ...place,
        ...needs,
        phase: runPhases.planned,
        startedAtMs: nowMs,
        isPresumed: false,
        isStartConfirmed: false,
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

export function addRun(worker: WorkerRecord, run: Run): void {
    worker.runs.set(runKey(run.taskName, run.runId), run);
    addResources(worker.used, run.reserved, 1);
}

export function removeRun(worker: WorkerRecord, run: Run): void {
    if (worker.runs.delete(runKey(run.taskName, run.runId))) {
        addResources(worker.used, run.reserved, -1);
    }
}

export function freeResources(worker: WorkerRecord): Resources {
    const { capacity } = worker.entry;
    return {
        cpuMillicores: capacity.cpuMillicores - worker.used.cpuMillicores,
        memoryMb: capacity.memoryMb - worker.used.memoryMb,
        accelerators: capacity.accelerators - worker.used.accelerators,
    };
}

/** The highest end number up to which every end is safe in the store. */
export function acknowledgedEndNumber(worker: WorkerRecord): number {
    return worker.unsavedEnds.reduce((lowest, end) => Math.min(lowest, end.endNumber - 1), worker.lastEndNumber);
}

/** Name of a task: job, occurrence, step and index. */
export function formatTaskName(jobId: string, occurrence: number, stepIndex: number, taskIndex: number): string {
    return `${jobId}.${occurrence}.${stepIndex}.${taskIndex}`;
}

export interface TaskIdentity {
    jobId: string;
    occurrence: number;
    stepIndex: number;
    taskIndex: number;
}

/** Reads a task's name; `undefined` for one that this scheduler cannot have given. */
export function parseTaskName(taskName: string): TaskIdentity | undefined {
    const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(taskName);
    return match ?
        { jobId: match[1]!, occurrence: Number(match[2]), stepIndex: Number(match[3]), taskIndex: Number(match[4]) } :
        undefined;
}
