/**
 * A stand-in of a worker: runs tasks under leases, reports usage with a lag, and can checkpoint, throttle or stop a task.
 *
 * `PUT /v1/tasks/<id>` starts a task or renews its lease: `{"fence", "leaseMs", "cores", "memoryMb", "runMs"}`; a lower
 * fence than the highest seen is refused with 409. `POST /v1/tasks/<id>/checkpoint|throttle|stop`, `GET /v1/tasks`,
 * `GET /v1/usage`. `POST /faults` with `{"failsEverything": true}` makes each new task fail at once.
 */
import http from "node:http";
import { listen, type ListenAddress, readJson, sendJson } from "./serving.js";

export const taskStates = { running: "running", done: "done", failed: "failed", stopped: "stopped", leaseLapsed: "leaseLapsed" } as const;
export type TaskState = (typeof taskStates)[keyof typeof taskStates];

export interface WorkerTask {
    taskId: string;
    state: TaskState;
    cores: number;
    memoryMb: number;
    /** Run time that is left, in milliseconds at full speed. */
    leftMs: number;
    /** Part of full speed, 0 to 1. */
    speedPart: number;
    leaseEndsAtMs: number;
    /** Run time left at the last checkpoint, from which the task would go on elsewhere. */
    checkpointLeftMs: number;
}

export interface WorkerUsage {
    cores: number;
    memoryMb: number;
}

interface TaskRequest {
    fence: number;
    leaseMs: number;
    cores: number;
    memoryMb: number;
    runMs: number;
}

const stepIntervalMs = 20;
const throttledPart = 0.25;

/** Starts a worker whose usage is reported `usageLagMs` late, and resolves with its port. */
export function startWorker(address: ListenAddress, usageLagMs: number, signal: AbortSignal): Promise<number> {
    const tasks = new Map<string, WorkerTask>();
    const faults = { failsEverything: false };
    let highestFence = 0;
    let shownUsage: WorkerUsage = { cores: 0, memoryMb: 0 };

    const running = (): WorkerTask[] => [...tasks.values()].filter(task => task.state === taskStates.running);

    const step = (): void => {
        const nowMs = performance.now();
        running().forEach(task => {
            task.leftMs -= stepIntervalMs * task.speedPart;
            if (task.leftMs <= 0) {
                task.state = taskStates.done;
            }
            else if (nowMs > task.leaseEndsAtMs) {
                task.state = taskStates.leaseLapsed;
            }
        });
        const usage = running().reduce(
            (sum, task) => ({ cores: sum.cores + task.cores * task.speedPart, memoryMb: sum.memoryMb + task.memoryMb }),
            { cores: 0, memoryMb: 0 },
        );
        setTimeout(() => shownUsage = usage, usageLagMs);
    };

    const put = (taskId: string, body: TaskRequest): WorkerTask | undefined => {
        if (body.fence < highestFence) {
            return undefined;
        }
        highestFence = body.fence;
        const leaseEndsAtMs = performance.now() + body.leaseMs;
        const known = tasks.get(taskId);
        if (known) {
            known.leaseEndsAtMs = leaseEndsAtMs;
            return known;
        }
        const state = faults.failsEverything ? taskStates.failed : taskStates.running;
        const { cores, memoryMb, runMs } = body;
        const task = { taskId, state, cores, memoryMb, leftMs: runMs, speedPart: 1, leaseEndsAtMs, checkpointLeftMs: runMs };
        tasks.set(taskId, task);
        return task;
    };

    const actions: Record<string, (task: WorkerTask) => void> = {
        checkpoint: task => task.checkpointLeftMs = task.leftMs,
        throttle: task => task.speedPart = throttledPart,
        stop: task => task.state = task.state === taskStates.running ? taskStates.stopped : task.state,
    };

    const serveTask = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        taskId: string,
        action: string | undefined,
    ): Promise<void> => {
        const body = await readJson(request);
        if (request.method === "PUT") {
            const task = put(taskId, body as TaskRequest);
            sendJson(response, task ? 200 : 409, task ?? { error: `fence ${(body as TaskRequest).fence} is below ${highestFence}` });
            return;
        }
        const task = tasks.get(taskId);
        const act = actions[action ?? ""];
        if (task && act) {
            act(task);
        }
        sendJson(response, task && act ? 200 : 404, task ?? { error: `no task '${taskId}'` });
    };

    const serve = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const [, taskId, action] = /^\/v1\/tasks\/([^/]+)(?:\/([a-z]+))?$/.exec(request.url ?? "") ?? [];
        if (taskId !== undefined) {
            await serveTask(request, response, taskId, action);
        }
        else if (request.url === "/faults") {
            sendJson(response, 200, Object.assign(faults, await readJson(request)));
        }
        else {
            sendJson(response, 200, request.url === "/v1/usage" ? shownUsage : { tasks: [...tasks.values()] });
        }
    };

    const timer = setInterval(step, stepIntervalMs);
    signal.addEventListener("abort", () => clearInterval(timer), { once: true });
    return listen(http.createServer((request, response) => void serve(request, response)), address, signal);
}
