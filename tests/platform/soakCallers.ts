/** Callers of a soak: each keeps its connection to a process until that is gone, and checks what it is answered. */
import { Client } from "undici";
import type { SeededRandom } from "../../harness/random.js";
import { platformBounds, type PlatformProcess } from "./platformProcesses.js";
import { constantKey, lastingQueueName, queueNames, soakHost, type SoakOperator, type SoakVersion } from "./soakConfigurations.js";
import { encodeSpec, type SoakJob, type SoakJobs } from "./soakJobs.js";

export interface SoakCallersOptions {
    count: number;
    random: SeededRandom;
    processes: readonly PlatformProcess[];
    operator: SoakOperator;
    jobs: SoakJobs;
    /** When the store was last disturbed; infinite while it is. */
    storeDisturbedAtMs(): number;
    record(what: string, fields: object): void;
    onViolation(rule: string, fields: object): void;
}

export interface SoakCallers {
    /** Calls so far by method and outcome, and under "calm" the answers to which the bounds for machines in touch apply. */
    counts: ReadonlyMap<string, number>;
    /** Ends the traffic; resolves when all calls have ended. */
    end(): Promise<void>;
    /** Asks any process for the state of a job. */
    askState(job: SoakJob): Promise<unknown>;
    close(): void;
}

interface Answer {
    status: number;
    body: Record<string, unknown>;
}

interface Call {
    method: "POST" | "GET" | "DELETE";
    queueName: string;
    key: string;
    /** Job id; empty for a count of the queue. */
    jobId: string;
    body?: string;
}

const answerTimeoutMs = 3_000;
const callsPerS = 60;
const retryPauseMs = 300;
const maxSubmitAttempts = 30;
const maxLastingJobs = 8;
/** Jobs whose tasks can outlast a lease; they have one step. */
const longShare = 0.2;
/** A caller asks for the latest jobs only. */
const recentJobsCount = 60;
const weights = { submit: 0.1, state: 0.75, cancel: 0.78 } as const;
const sleep = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

function drawJob(random: SeededRandom, isLasting: boolean): SoakJob {
    const jobId = Array.from({ length: 16 }, () => random.between(0, 15).toString(16)).join("");
    const isLong = !isLasting && random.unit() < longShare;
    const durationMs = isLong ? random.between(1_500, 6_000) : random.between(30, 1_200);
    const failuresCount = !isLasting && !isLong && random.unit() < 0.1 ? random.between(1, 2) : 0;
    const makeStep = (index: number) => ({
        count: random.between(1, 6),
        cpu: random.between(500, 2_000),
        memMb: 256,
        estDurationMs: durationMs,
        ...(index > 0 ? { after: [index - 1] } : {}),
        ...(isLasting ? { longRunning: true } : {}),
    });
    return {
        jobId,
        queueName: isLasting ? lastingQueueName : queueNames[0],
        spec: encodeSpec({ durationMs, isLongRunning: isLasting, failuresCount }),
        steps: Array.from({ length: isLasting || isLong ? 1 : random.between(1, 3) }, (_, index) => makeStep(index)),
        submitStatuses: [],
    };
}

export function startSoakCallers(options: SoakCallersOptions): SoakCallers {
    const { random, operator, jobs, record, onViolation } = options;
    const counts = new Map<string, number>();
    const recentJobs: SoakJob[] = [];
    let lastingJobsCount = 0;
    let isEnding = false;

    const checkCredentials = ({ queueName, key }: Call, status: number, sentAtMs: number, isCalm: boolean, fields: object): void => {
        const fail = (text: string): void => onViolation("CONFIG", { ...fields, queueName, key, status, text });
        const applyMs = isCalm ? platformBounds.configApplyMs : Number.POSITIVE_INFINITY;
        const isInForce = (passes: (version: SoakVersion) => boolean, boundMs = applyMs): boolean =>
            operator.versionsInForce(sentAtMs, boundMs).some(passes);
        const hasKey = (version: SoakVersion): boolean => version.keys.includes(key);
        const hasQueue = (version: SoakVersion): boolean => version.queueNames.includes(queueName);
        if (status === 200 && !isInForce(version => hasKey(version) && hasQueue(version))) {
            fail("no version in force allows this");
        }
        if (status === 200 && !isInForce(hasKey, platformBounds.revokeMs)) {
            fail("the key is withdrawn");
        }
        if (status === 401 && !isInForce(version => !hasKey(version)) || status === 404 && !isInForce(version => !hasQueue(version))) {
            fail("each version in force allows this");
        }
    };

    /** A connection to a process that is up, and the next process's once that one is gone. */
    const openConnection = () => {
        let process: PlatformProcess | undefined;
        let client: Client | undefined;
        const leave = (): void => {
            void client?.destroy();
            client = undefined;
        };
        const call = async (request: Call): Promise<{ answer: Answer; isCalm: boolean; sentAtMs: number } | undefined> => {
            if (!client) {
                process = random.pick(options.processes.filter(each => each.isRunning()));
                if (!process) {
                    return undefined;
                }
                client = new Client(process.callerUrl, { connectTimeout: answerTimeoutMs });
            }
            const called = process!;
            const sentAtMs = performance.now();
            const { method, queueName, key, jobId, body } = request;
            const fields = { method, path: `/${queueName}/${jobId}`, process: called.name };
            const isCalmAt = (disturbedAtMs: number): boolean => disturbedAtMs + platformBounds.contactMs < sentAtMs;
            const count = (outcome: string | number): void => {
                counts.set(`${method} ${outcome}`, (counts.get(`${method} ${outcome}`) ?? 0) + 1);
                record("call", { ...fields, outcome, durationMs: Math.round(performance.now() - sentAtMs) });
            };
            try {
                const response = await client.request({
                    method,
                    path: fields.path,
                    headers: {
                        "host": soakHost,
                        "credential": key,
                        "deadline-ms": String(answerTimeoutMs),
                        "content-type": "application/json",
                    },
                    body,
                    signal: AbortSignal.timeout(answerTimeoutMs),
                });
                const answer = { status: response.statusCode, body: await response.body.json() as Record<string, unknown> };
                count(answer.status);
                const isCalm = isCalmAt(called.disturbedAtMs()) && isCalmAt(options.storeDisturbedAtMs());
                counts.set("calm", (counts.get("calm") ?? 0) + Number(isCalm));
                checkCredentials(request, answer.status, sentAtMs, isCalm, fields);
                return { answer, isCalm, sentAtMs };
            }
            catch (error) {
                const { name, code, message } = error as { name: string; code?: string; message: string };
                const hasTimedOut = name === "TimeoutError";
                count(hasTimedOut ? "no answer" : code ?? name);
                leave();
                const durationMs = performance.now() - sentAtMs;
                const isProcessCalm = isCalmAt(called.disturbedAtMs());
                const failure = { ...fields, durationMs, error: message };
                if (hasTimedOut) {
                    // A request may go unanswered once its deadline is reached, but a process that nothing disturbs answers before.
                    if (isProcessCalm && isCalmAt(options.storeDisturbedAtMs())) {
                        onViolation("LOST", { ...failure, text: "no answer in time" });
                    }
                }
                else if (isProcessCalm && code !== "ECONNREFUSED" && durationMs > platformBounds.lossSlackMs) {
                    onViolation("LOST", { ...failure, text: "the connection ended without an answer" });
                }
                return undefined;
            }
        };
        return { call, leave };
    };
    type Connection = ReturnType<typeof openConnection>;

    const cancel = async (connection: Connection, job: SoakJob): Promise<void> => {
        job.cancelSentAtMs ??= performance.now();
        const result = await connection.call({ method: "DELETE", queueName: job.queueName, key: constantKey, jobId: job.jobId });
        const status = result?.answer.status;
        if (status === 200 || (status === 410 && job.acceptedAtMs === undefined)) {
            job.cancelledAtMs ??= performance.now();
        }
    };
    /** Cancels a job whose submission got no answer, and may still be on its way, until that is acknowledged. */
    const cancelUnanswered = async (connection: Connection, job: SoakJob): Promise<void> => {
        for (let attempt = 0; attempt < maxSubmitAttempts && job.cancelledAtMs === undefined && !isEnding; attempt++) {
            await cancel(connection, job);
            await sleep(retryPauseMs);
        }
    };
    const submit = async (connection: Connection): Promise<void> => {
        const isLasting = lastingJobsCount < maxLastingJobs && random.unit() < 0.15;
        lastingJobsCount += isLasting ? 1 : 0;
        const job = drawJob(random, isLasting);
        const { jobId, queueName, spec, steps } = job;
        jobs.add(job);
        const givesUp = random.unit() < 0.3;
        const cancelsUnanswered = random.unit() < 0.3;
        const body = JSON.stringify({ spec, steps });
        for (let attempt = 0; attempt < maxSubmitAttempts; attempt++) {
            const result = await connection.call({ method: "POST", queueName, key: constantKey, jobId, body });
            const status = result?.answer.status;
            job.submitStatuses.push(status);
            if (status === 200) {
                job.acceptedAtMs = performance.now();
                recentJobs.push(job);
                break;
            }
            if (givesUp && (status === 429 || status === 503) || isEnding) {
                return;
            }
            if (cancelsUnanswered && (status === undefined || status === 504)) {
                connection.leave();
                await cancelUnanswered(connection, job);
                return;
            }
            await sleep(retryPauseMs);
        }
        if (random.unit() < 0.1) {
            await sleep(random.between(100, 3_000));
            connection.leave();
            const repeated = await connection.call({ method: "POST", queueName, key: constantKey, jobId, body });
            job.submitStatuses.push(repeated?.answer.status);
        }
    };
    const drawRecentJob = (): SoakJob | undefined => recentJobs.length === 0 ? undefined : random.pick(recentJobs.slice(-recentJobsCount));

    const askState = async (connection: Connection, job: SoakJob): Promise<unknown> => {
        const { jobId, queueName, acceptedAtMs = 0 } = job;
        const result = await connection.call({ method: "GET", queueName, key: constantKey, jobId });
        if (result?.answer.status === 200) {
            jobs.onState(job, result.answer.body["state"]);
            return result.answer.body["state"];
        }
        const isDue = result !== undefined && result.sentAtMs > acceptedAtMs + platformBounds.visible_ms;
        if (result?.answer.status === 410 && job.cancelSentAtMs === undefined && result.isCalm && isDue) {
            onViolation("LOST", { job: jobId, text: "410 for an accepted job" });
        }
        return undefined;
    };
    const askCount = async (connection: Connection): Promise<void> => {
        await connection.call({ method: "GET", ...operator.drawCredentials(), jobId: "" });
    };
    const act = async (connection: Connection): Promise<void> => {
        const drawn = random.unit();
        const job = drawRecentJob();
        if (drawn < weights.submit) {
            await submit(connection);
        }
        else if (job && drawn < weights.state) {
            await askState(connection, job);
        }
        else if (job && drawn < weights.cancel) {
            await cancel(connection, job);
        }
        else {
            await askCount(connection);
        }
    };
    const meanPauseMs = 1_000 * options.count / callsPerS;
    const connections = Array.from({ length: options.count }, openConnection);
    const loops = connections.map(async connection => {
        while (!isEnding) {
            await sleep(random.unit() * 2 * meanPauseMs);
            await act(connection);
        }
    });
    return {
        counts,
        end: async () => {
            isEnding = true;
            await Promise.all(loops);
        },
        askState: job => askState(connections[0]!, job),
        close: () => connections.forEach(connection => connection.leave()),
    };
}
