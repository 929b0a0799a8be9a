/** Stand-in of a worker with fencing, leases and lives, which can crash, be cut off and answer late. It runs tasks by their spec. */
import http from "node:http";

/** What a task of the soak does; its spec is this as JSON. */
export interface TaskSpec {
    /** How long a run takes; a long-running one goes on until it is stopped. */
    durationMs: number;
    isLongRunning: boolean;
    /** Runs that end as failed before one is done. */
    failuresCount: number;
}

export interface WorkerRun {
    task: string;
    runId: number;
    spec: string;
    workerName: string;
    startedAtMs: number;
    endedAtMs?: number;
    how?: string;
    /** Whether the worker's lease lapsed between the end and its acknowledgement. */
    isLeaseLapsed: boolean;
}

export interface WorkerObserver {
    onStart(run: WorkerRun, others: readonly WorkerRun[]): void;
    onEnd(run: WorkerRun): void;
    onAcknowledged(run: WorkerRun): void;
    /** How often the task has ended as failed, on whatever worker. */
    failuresOf(task: string): number;
}

export interface LeasedWorker {
    name: string;
    /** Delay of each response. */
    responseDelayMs: number;
    runs(): WorkerRun[];
    isUp(): boolean;
    /** Ends the process of the worker with all that runs on it. */
    crash(): void;
    /** Begins a new life at the same address, under the same id or a new one. */
    restart(isSameId: boolean): Promise<void>;
    /** Neither calls nor heartbeats pass until `reconnect`. */
    cutOff(): void;
    reconnect(): void;
    stop(): void;
}

export interface LeasedWorkerOptions {
    name: string;
    /** `ip:port` on which it listens. */
    address: string;
    zone: string;
    pool: string;
    capacity: { cpu: number; memMb: number; gpu: number };
    /** Rate of its clock against the actual one. */
    clockRate: number;
    writeEntry(workerId: string, entry: object): void;
    observer: WorkerObserver;
}

interface Life {
    bornWallMs: number;
    startedAtMs: number;
    fencingToken: number;
    leaseUntilMs: number;
    running: Map<string, WorkerRun>;
    highestEndedRunId: Map<string, number>;
    ends: { endNumber: number; run: WorkerRun }[];
    nextEndNumber: number;
}

const maxLeaseMs = 6_000;
const heartbeatMs = 1_500;
const leaseCheckMs = 25;
const stopDurationMs = 100;
const startupMs = 200;
const maxListedEnds = 500;

const keyOf = ({ task, runId }: { task: string; runId: number }): string => `${task}#${runId}`;

export async function startLeasedWorker(options: LeasedWorkerOptions): Promise<LeasedWorker> {
    const { name, observer } = options;
    const [host, port] = options.address.split(":");
    let workerId = name;
    let livesCount = 0;
    let isUp = false;
    let isCut = false;
    let seq = 0;
    let life: Life;
    const listeners = new Set<() => void>();

    const clockMs = (): number => Math.round((performance.now() - life.startedAtMs) * options.clockRate);
    const wake = (): void => listeners.forEach(listener => listener());
    const endRun = (run: WorkerRun, how: string, isListed = true): void => {
        if (run.how !== undefined) {
            return;
        }
        run.how = how;
        run.endedAtMs = performance.now();
        life.running.delete(keyOf(run));
        life.highestEndedRunId.set(run.task, Math.max(run.runId, life.highestEndedRunId.get(run.task) ?? 0));
        if (isListed) {
            life.ends.push({ endNumber: life.nextEndNumber++, run });
        }
        observer.onEnd(run);
        wake();
    };
    const checkLease = (): void => {
        if (isUp && clockMs() > life.leaseUntilMs) {
            life.ends.forEach(({ run }) => run.isLeaseLapsed = true);
            [...life.running.values()].forEach(run => endRun(run, "lapsed"));
        }
    };
    const extendLease = (deadlineMs: number): void => {
        checkLease();
        life.leaseUntilMs = Math.max(life.leaseUntilMs, Math.min(deadlineMs, clockMs() + maxLeaseMs));
    };
    const start = (order: { task: string; runId: number; spec: string; deadlineMs: number }): [number, object] => {
        const { task, runId, spec } = order;
        if (life.running.has(keyOf(order))) {
            return [200, {}];
        }
        if (order.deadlineMs < clockMs()) {
            return [409, { reason: "late" }];
        }
        extendLease(order.deadlineMs);
        if (runId <= (life.highestEndedRunId.get(task) ?? 0)) {
            return [409, { reason: "old" }];
        }
        const run: WorkerRun = { task, runId, spec, workerName: name, startedAtMs: performance.now(), isLeaseLapsed: false };
        observer.onStart(run, [...life.running.values()]);
        life.running.set(keyOf(run), run);
        const { durationMs, isLongRunning, failuresCount } = JSON.parse(spec) as TaskSpec;
        if (!isLongRunning) {
            setTimeout(() => endRun(run, observer.failuresOf(task) < failuresCount ? "failed" : "done"), durationMs).unref();
        }
        return [200, {}];
    };
    const stop = ({ task, runId }: { task: string; runId: number }): [number, object] => {
        life.highestEndedRunId.set(task, Math.max(runId, life.highestEndedRunId.get(task) ?? 0));
        const run = life.running.get(keyOf({ task, runId }));
        if (run) {
            setTimeout(() => endRun(run, "stopped"), stopDurationMs).unref();
        }
        return [200, {}];
    };
    const hold = async (order: { lastSeen: number; deadlineMs?: number; waitMs?: number }): Promise<[number, object]> => {
        const current = life;
        if (order.deadlineMs !== undefined) {
            extendLease(order.deadlineMs);
        }
        const acknowledged = current.ends.filter(each => each.endNumber <= order.lastSeen);
        current.ends = current.ends.filter(each => each.endNumber > order.lastSeen);
        acknowledged.forEach(({ run }) => observer.onAcknowledged(run));
        if (current.ends.length === 0 && order.waitMs !== undefined) {
            await new Promise<void>(resolve => {
                const finish = (): void => {
                    clearTimeout(timer);
                    listeners.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, order.waitMs);
                listeners.add(finish);
            });
        }
        const percent = (run: WorkerRun): number => performance.now() - run.startedAtMs >= startupMs ? 100 : 0;
        return [200, {
            running: [...current.running.values()].map(run => [run.task, run.runId, "", percent(run), 0]),
            endedRuns: current.ends.slice(0, maxListedEnds).map(({ endNumber, run }) => [endNumber, run.task, run.runId, run.how, ""]),
        }];
    };
    const handle = (request: http.IncomingMessage, body: { fencingToken?: number }): [number, object] | Promise<[number, object]> => {
        if (![undefined, workerId].includes(request.headers["expect-instance"] as string | undefined)) {
            return [421, {}];
        }
        if ((body.fencingToken ?? 0) < life.fencingToken) {
            return [409, { reason: "fence" }];
        }
        life.fencingToken = body.fencingToken ?? 0;
        switch (request.url) {
            case "/api/run-start":
                return start(body as Parameters<typeof start>[0]);
            case "/api/run-stop":
                return stop(body as Parameters<typeof stop>[0]);
            case "/api/hold":
                return hold(body as Parameters<typeof hold>[0]);
            default:
                return [request.url === "/api/pace" ? 200 : 404, {}];
        }
    };
    const serve = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const current = life;
        let text = "";
        for await (const chunk of request) {
            text += String(chunk);
        }
        if (isCut || !isUp) {
            return;
        }
        const [status, body] = await handle(request, JSON.parse(text) as object);
        if (worker.responseDelayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, worker.responseDelayMs));
        }
        if (!isCut && current === life) {
            response.writeHead(status, { "content-type": "application/json" })
                .end(JSON.stringify({ clockMs: clockMs(), born: life.bornWallMs, ...body }));
        }
    };
    let server: http.Server;
    const beginLife = async (): Promise<void> => {
        life = {
            bornWallMs: Date.now(),
            startedAtMs: performance.now() - 1_000,
            fencingToken: 0,
            leaseUntilMs: 0,
            running: new Map(),
            highestEndedRunId: new Map(),
            ends: [],
            nextEndNumber: 1,
        };
        server = http.createServer((request, response) => void serve(request, response).catch(() => response.destroy()));
        await new Promise<void>(resolve => server.listen(Number(port), host, resolve));
        isUp = true;
        beat();
    };
    const beat = (): void => {
        if (isUp && !isCut) {
            const { address, zone, pool: service, capacity } = options;
            const state = { version: "v1", slots: 8, state: "ready", coldRemainingMs: 0, labels: ["a", `r-${zone}`] };
            options.writeEntry(workerId, {
                service,
                address,
                zone,
                capacity,
                ...state,
                clockMs: clockMs(),
                born: life.bornWallMs,
                seq: seq++,
            });
        }
    };
    const closeServer = (): void => {
        server.close();
        server.closeAllConnections();
    };
    const worker: LeasedWorker = {
        name,
        responseDelayMs: 0,
        runs: () => [...life.running.values()],
        isUp: () => isUp,
        crash: () => {
            isUp = false;
            closeServer();
            [...life.running.values()].forEach(run => endRun(run, "crashed", false));
        },
        restart: async isSameId => {
            livesCount += 1;
            workerId = isSameId ? workerId : `${name}-${livesCount}`;
            isCut = false;
            await beginLife();
        },
        cutOff: () => {
            isCut = true;
            server.closeAllConnections();
        },
        reconnect: () => {
            isCut = false;
            beat();
        },
        stop: () => {
            clearInterval(heartbeat);
            clearInterval(leaseCheck);
            isUp = false;
            closeServer();
        },
    };
    await beginLife();
    const heartbeat = setInterval(beat, heartbeatMs);
    const leaseCheck = setInterval(checkLease, leaseCheckMs);
    return worker;
}
