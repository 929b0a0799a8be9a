/**
 * Stand-in of a worker, as a process of its own: it ends and starts again by signals and holds nothing of its former life. It tells its
 * parent by lines on standard output what it runs, and when it would write its entry to the store.
 */
import { startJsonServer } from "./http.js";

/** What a task does; its spec is this as JSON. */
export interface TaskSpec {
    /** How long a run takes; 0 for one that lasts until it is stopped. */
    workMs: number;
    how: "done" | "failed";
}

export interface WorkerArguments {
    address: string;
    workerId: string;
    maxHoldMs: number;
    /** How long a stop takes. */
    stopMs: number;
    heartbeatMs: number;
}

/** A line of the worker's output. */
export interface WorkerEvent {
    what: "beat" | "started" | "ended" | "acknowledged";
    born: number;
    clockMs: number;
    seq?: number;
    task?: string;
    runId?: number;
    how?: string;
}

interface Order {
    task: string;
    runId: number;
    spec: string;
    deadlineMs?: number;
    fencingToken?: number;
    lastSeen: number;
    waitMs?: number;
}

interface Run {
    task: string;
    runId: number;
    startedAtMs: number;
}

interface End extends Run {
    endNumber: number;
    how: string;
}

const maxListedEnds = 500;
const startupMs = 200;
const leaseCheckMs = 20;

const options = JSON.parse(process.argv[2] ?? "{}") as WorkerArguments;
const born = Date.now();
const runs = new Map<string, Run>();
const highestEndedRunIds = new Map<string, number>();
const listeners = new Set<() => void>();
let ends: End[] = [];
let nextEndNumber = 1;
let fencingToken = 0;
let leaseUntilMs = 0;
let seq = 0;

const startedAtMs = performance.now();
const clockMs = (): number => Math.round(performance.now() - startedAtMs);
const tell = (event: Omit<WorkerEvent, "born" | "clockMs">): void =>
    void process.stdout.write(`${JSON.stringify({ ...event, born, clockMs: clockMs() })}\n`);
const keyOf = ({ task, runId }: Pick<Run, "task" | "runId">): string => `${task}#${runId}`;
const noteEnded = (task: string, runId: number): void =>
    void highestEndedRunIds.set(task, Math.max(runId, highestEndedRunIds.get(task) ?? 0));

function endRun(run: Run, how: string): void {
    if (!runs.delete(keyOf(run))) {
        return;
    }
    noteEnded(run.task, run.runId);
    ends.push({ ...run, how, endNumber: nextEndNumber++ });
    tell({ what: "ended", task: run.task, runId: run.runId, how });
    [...listeners].forEach(listener => listener());
}

function checkLease(): void {
    if (clockMs() > leaseUntilMs) {
        [...runs.values()].forEach(run => endRun(run, "lapsed"));
    }
}

function extendLease(deadlineMs: number): void {
    checkLease();
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(deadlineMs, clockMs() + options.maxHoldMs));
}

function start({ task, runId, spec, deadlineMs = 0 }: Order): [number, object] {
    if (runs.has(keyOf({ task, runId }))) {
        return [200, {}];
    }
    if (deadlineMs < clockMs()) {
        return [409, { reason: "late" }];
    }
    extendLease(deadlineMs);
    if (runId <= (highestEndedRunIds.get(task) ?? 0)) {
        return [409, { reason: "old" }];
    }
    const run: Run = { task, runId, startedAtMs: performance.now() };
    runs.set(keyOf(run), run);
    tell({ what: "started", task, runId });
    const { workMs, how } = JSON.parse(spec) as TaskSpec;
    if (workMs > 0) {
        setTimeout(() => endRun(run, how), workMs);
    }
    return [200, {}];
}

function stop({ task, runId }: Order): [number, object] {
    noteEnded(task, runId);
    const run = runs.get(keyOf({ task, runId }));
    if (run) {
        setTimeout(() => endRun(run, "stopped"), options.stopMs);
    }
    return [200, {}];
}

async function hold({ deadlineMs, lastSeen, waitMs = 0 }: Order): Promise<[number, object]> {
    if (deadlineMs !== undefined) {
        extendLease(deadlineMs);
    }
    ends.filter(({ endNumber }) => endNumber <= lastSeen)
        .forEach(({ task, runId, how }) => tell({ what: "acknowledged", task, runId, how }));
    ends = ends.filter(({ endNumber }) => endNumber > lastSeen);
    if (ends.length === 0 && waitMs > 0) {
        await new Promise<void>(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                listeners.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, waitMs);
            listeners.add(finish);
        });
    }
    const percentOf = (run: Run): number => performance.now() - run.startedAtMs >= startupMs ? 100 : 0;
    return [200, {
        running: [...runs.values()].map(run => [run.task, run.runId, "", percentOf(run), 0]),
        endedRuns: ends.slice(0, maxListedEnds).map(end => [end.endNumber, end.task, end.runId, end.how, ""]),
    }];
}

async function carryOut(path: string, order: Order): Promise<[number, object]> {
    if ((order.fencingToken ?? 0) < fencingToken) {
        return [409, { reason: "fence" }];
    }
    fencingToken = order.fencingToken ?? 0;
    switch (path) {
        case "/api/run-start":
            return start(order);
        case "/api/run-stop":
            return stop(order);
        case "/api/hold":
            return hold(order);
        default:
            return [path === "/api/pace" ? 200 : 404, {}];
    }
}

const beat = (): void => tell({ what: "beat", seq: seq++ });

await startJsonServer(async (request, url, text) => {
    if (request.method === "GET") {
        return [200, {}];
    }
    const intended = request.headers["expect-instance"];
    if (intended !== undefined && intended !== options.workerId) {
        return [421, { clockMs: clockMs(), born }];
    }
    const [status, body] = await carryOut(url.pathname, JSON.parse(text) as Order);
    return [status, { clockMs: clockMs(), born, ...body }];
}, options.address);
beat();
setInterval(beat, options.heartbeatMs);
setInterval(checkLease, leaseCheckMs);
