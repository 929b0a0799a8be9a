/**
 * Simulated worker that runs tasks under leases, reports resource usage with a delay, and can checkpoint, throttle or stop
 * a task.
 *
 * - `PUT /v1/tasks/<id>` with `{"fence", "leaseMs", "cores", "memoryMb", "runMs"}` starts a task or renews its lease. A
 *   fencing token below the highest one seen by this worker is rejected with 409.
 * - `POST /v1/tasks/<id>/checkpoint|throttle|stop` acts on a task.
 * - `GET /v1/tasks` and `GET /v1/usage` return the tasks and the reported usage.
 * - `POST /faults` with `{"failsEverything": true}` makes every new task fail immediately.
 */
import http from "node:http";
import { listen, type ListenAddress, readJson, sendJson } from "./httpHelpers.js";

export const taskStates = { running: "running", done: "done", failed: "failed", stopped: "stopped", leaseLapsed: "leaseLapsed" } as const;
export type TaskState = (typeof taskStates)[keyof typeof taskStates];

export interface WorkerTask {
    taskId: string;
    state: TaskState;
    cores: number;
    memoryMb: number;
    /** Remaining run time at full speed, in milliseconds. */
    leftMs: number;
    /** Speed as a fraction of full speed, 0 to 1. */
    speedPart: number;
    leaseEndsAtMs: number;
    /** Remaining run time at the last checkpoint, from which the task would resume on another worker. */
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
const throttledSpeedFraction = 0.25;

/** Starts a simulated worker that reports its usage `usageLagMs` late, and resolves with its port. */
export function startWorker(address: ListenAddress, usageLagMs: number, signal: AbortSignal): Promise<number> {
    const tasks = new Map<string, WorkerTask>();
    const faults = { failsEverything: false };
    let highestFence = 0;
    let reportedUsage: WorkerUsage = { cores: 0, memoryMb: 0 };

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
        setTimeout(() => reportedUsage = usage, usageLagMs);
    };

    const startOrRenewTask = (taskId: string, body: TaskRequest): WorkerTask | undefined => {
        if (body.fence < highestFence) {
            return undefined;
        }
        highestFence = body.fence;
        const leaseEndsAtMs = performance.now() + body.leaseMs;
        const existingTask = tasks.get(taskId);
        if (existingTask) {
            existingTask.leaseEndsAtMs = leaseEndsAtMs;
            return existingTask;
        }
        const state = faults.failsEverything ? taskStates.failed : taskStates.running;
        const { cores, memoryMb, runMs } = body;
        const task = { taskId, state, cores, memoryMb, leftMs: runMs, speedPart: 1, leaseEndsAtMs, checkpointLeftMs: runMs };
        tasks.set(taskId, task);
        return task;
    };

    const actions: Record<string, (task: WorkerTask) => void> = {
        checkpoint: task => task.checkpointLeftMs = task.leftMs,
        throttle: task => task.speedPart = throttledSpeedFraction,
        stop: task => task.state = task.state === taskStates.running ? taskStates.stopped : task.state,
    };

    const handleTaskRequest = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        taskId: string,
        action: string | undefined,
    ): Promise<void> => {
        const body = await readJson(request);
        if (request.method === "PUT") {
            const task = startOrRenewTask(taskId, body as TaskRequest);
            sendJson(
                response,
                task ? 200 : 409,
                task ?? { error: `fencing token ${(body as TaskRequest).fence} is lower than ${highestFence}, the highest one seen` },
            );
            return;
        }
        const task = tasks.get(taskId);
        const applyAction = actions[action ?? ""];
        if (task && applyAction) {
            applyAction(task);
        }
        sendJson(response, task && applyAction ? 200 : 404, task ?? { error: `task '${taskId}' does not exist` });
    };

    const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const [, taskId, action] = /^\/v1\/tasks\/([^/]+)(?:\/([a-z]+))?$/.exec(request.url ?? "") ?? [];
        if (taskId !== undefined) {
            await handleTaskRequest(request, response, taskId, action);
        }
        else if (request.url === "/faults") {
            sendJson(response, 200, Object.assign(faults, await readJson(request)));
        }
        else {
            sendJson(response, 200, request.url === "/v1/usage" ? reportedUsage : { tasks: [...tasks.values()] });
        }
    };

    const timer = setInterval(step, stepIntervalMs);
    signal.addEventListener("abort", () => clearInterval(timer), { once: true });
    return listen(http.createServer((request, response) => void handleRequest(request, response)), address, signal);
}
