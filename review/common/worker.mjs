/**
 * Stand-in of an executor: runs tasks on orders as PROTOCOL.md describes it, with fencing tokens, leases, run ids and ends.
 * A task's spec is JSON: `ms` is how long it runs, `lasts` that it runs until it is stopped.
 */
import { noAnswer, startJsonServer } from "./httpServer.mjs";

const maxHoldMs = 6_000;
const stopMs = 100;
const startupMs = 200;
const maxListedEnds = 500;
const heartbeatMs = 1_500;

const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs));

/**
 * Starts the worker and registers it in the store. `onEvent(what, fields)` is told each start and each end. `delayMs` is added to
 * each answer, for the way between zones.
 */
export async function startWorker({ id: firstId, service, zone, labels, capacity, store, onEvent, delayMs = 0 }) {
    let id = firstId;
    const state = { server: undefined, port: 0, isUp: false, isDraining: false, seq: 0 };
    let life;

    const clockMs = () => Math.round(performance.now() - life.startedAtMs);
    const beginLife = () => {
        life = {
            bornWallMs: Date.now(),
            startedAtMs: performance.now() - 1_000,
            fencingToken: 0,
            leaseUntilMs: 0,
            running: new Map(),
            highestEndedRun: new Map(),
            ends: [],
            nextEnd: 1,
            waiters: new Set(),
        };
    };
    const wake = () => {
        life.waiters.forEach(resolve => resolve());
        life.waiters.clear();
    };
    const endRun = (run, how) => {
        const { task, runId } = run;
        if (life.running.get(`${task}#${runId}`) !== run) {
            return;
        }
        clearTimeout(run.timer);
        life.running.delete(`${task}#${runId}`);
        life.highestEndedRun.set(task, Math.max(runId, life.highestEndedRun.get(task) ?? 0));
        life.ends.push([life.nextEnd, task, runId, how, ""]);
        life.nextEnd += 1;
        onEvent("end", { worker: id, task, runId, how });
        wake();
    };
    const checkLease = setInterval(() => {
        if (state.isUp && clockMs() > life.leaseUntilMs) {
            [...life.running.values()].forEach(run => endRun(run, "lapsed"));
        }
    }, 20);
    const extendLease = deadlineMs => {
        life.leaseUntilMs = Math.max(life.leaseUntilMs, Math.min(deadlineMs, clockMs() + maxHoldMs));
    };

    const start = ({ task, runId, spec, deadlineMs, fencingToken }) => {
        const key = `${task}#${runId}`;
        if (life.running.has(key)) {
            return [200, {}];
        }
        if (deadlineMs < clockMs()) {
            return [409, { reason: "late" }];
        }
        extendLease(deadlineMs);
        if (runId <= (life.highestEndedRun.get(task) ?? 0)) {
            return [409, { reason: "old" }];
        }
        const { ms = 0, lasts = false } = JSON.parse(spec);
        const run = { task, runId, startedAtMs: performance.now(), lasts };
        life.running.set(key, run);
        onEvent("start", { worker: id, task, runId, fencingToken });
        if (!lasts) {
            run.timer = setTimeout(() => endRun(run, "done"), ms);
        }
        return [200, {}];
    };
    const stop = ({ task, runId }) => {
        life.highestEndedRun.set(task, Math.max(runId, life.highestEndedRun.get(task) ?? 0));
        const run = life.running.get(`${task}#${runId}`);
        if (run && !run.isStopping) {
            run.isStopping = true;
            onEvent("stop", { worker: id, task, runId, percent: percentOf(run) });
            setTimeout(() => endRun(run, "stopped"), stopMs);
        }
        return [200, {}];
    };
    const percentOf = run => performance.now() - run.startedAtMs >= startupMs ? 100 : 0;
    const hold = async ({ lastSeen, deadlineMs, waitMs = 0 }) => {
        const current = life;
        life.ends = life.ends.filter(([number]) => number > lastSeen);
        if (deadlineMs !== undefined) {
            extendLease(deadlineMs);
        }
        if (life.ends.length === 0 && waitMs > 0) {
            await Promise.race([sleep(Math.min(waitMs, 2_000)), new Promise(resolve => current.waiters.add(resolve))]);
        }
        if (life !== current) {
            return noAnswer;
        }
        const running = [...life.running.values()].map(run => [run.task, run.runId, "", percentOf(run), 0]);
        return [200, { running, endedRuns: life.ends.slice(0, maxListedEnds) }];
    };

    const handle = async ({ url, headers, body }) => {
        const answer = async result => {
            const got = await result;
            await sleep(delayMs);
            return got === noAnswer ? noAnswer : [got[0], { clockMs: clockMs(), born: life.bornWallMs, ...got[1] }];
        };
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== id) {
            return answer([421, {}]);
        }
        const token = body.fencingToken ?? 0;
        if (token < life.fencingToken) {
            return answer([409, { reason: "fence" }]);
        }
        life.fencingToken = token;
        switch (url.pathname) {
            case "/api/run-start":
                return answer(start(body));
            case "/api/run-stop":
                return answer(stop(body));
            case "/api/hold":
                return answer(hold(body));
            case "/api/pace":
                return answer([200, {}]);
            default:
                return answer([404, {}]);
        }
    };
    const describe = () => {
        state.seq += 1;
        return {
            service,
            address: state.server.address,
            zone,
            version: "v1",
            slots: 8,
            state: state.isDraining ? "draining" : "ready",
            coldRemainingMs: 0,
            capacity,
            labels,
            clockMs: clockMs(),
            born: life.bornWallMs,
            seq: state.seq,
        };
    };
    const writeEntry = () => {
        if (state.isUp) {
            store.put(`servers/${id}`, describe());
        }
    };
    const comeUp = async () => {
        beginLife();
        state.server = await startJsonServer(handle, state.port);
        state.port = state.server.port;
        state.isUp = true;
        writeEntry();
    };
    const goDown = async () => {
        state.isUp = false;
        const lost = [...life.running.values()];
        lost.forEach(run => clearTimeout(run.timer));
        wake();
        await state.server.stop();
        lost.forEach(({ task, runId }) => onEvent("end", { worker: id, task, runId, how: "lost with its worker" }));
        life.running.clear();
    };
    await comeUp();
    const heartbeat = setInterval(writeEntry, heartbeatMs);

    return {
        id: firstId,
        address: () => state.server.address,
        describe,
        writeEntry,
        runningTasks: () => state.isUp ? [...life.running.values()] : [],
        /** Whether the task is at work at full speed on this worker. */
        isAtWork: task =>
            state.isUp && [...life.running.values()].some(run => run.task === task && !run.isStopping && percentOf(run) === 100),
        /** The process of the worker ends and begins again at the same address after `downMs`; it knows nothing of before. */
        crash: async (downMs, nextId = id) => {
            await goDown();
            await sleep(downMs);
            id = nextId;
            await comeUp();
        },
        /** The machine of the worker is lost for good: its address answers nothing any more. */
        lose: async () => {
            clearInterval(heartbeat);
            await goDown();
            state.server = await startJsonServer(() => noAnswer, state.port);
            state.isSilent = true;
        },
        stop: async () => {
            clearInterval(heartbeat);
            clearInterval(checkLease);
            if (state.isSilent) {
                await state.server.stop();
            }
            if (state.isUp) {
                [...life.running.values()].forEach(run => clearTimeout(run.timer));
                state.isUp = false;
                wake();
                await state.server.stop();
            }
        },
    };
}
