/** A process of the platform build as the target of a crowd of hostile clients. */
import { randomBytes } from "node:crypto";
import { request } from "undici";
import { defaultStep } from "../../harness/defaultStep.js";
import { createSeededRandom } from "../../harness/random.js";
import { waitUntil } from "../../harness/waitUntil.js";
import { encodeSubmission, jobKeys } from "../../src/scheduling/jobDocuments.js";
import type { CrowdTarget } from "../crowds/checkCrowd.js";
import { createPlatformProcesses } from "./platformProcesses.js";
import { constantKey, createSoakOperator, queueNames, soakHost } from "./soakConfigurations.js";
import { startStoreStandIn, type StoreStandIn } from "./storeStandIn.js";

export interface PlatformCrowdTarget extends CrowdTarget {
    addresses: { callers: string; readiness: string; peers: string };
    /** Head of a submission that is allowed, without headers about its body. */
    submissionHead: string;
    /** A whole request about a job without a key. */
    requestWithoutKey: string;
    /** Whether a request for readiness, on a connection of its own, is answered that the process is ready. */
    isReadinessAnswered(): Promise<boolean>;
    submit(body: AsyncIterable<Buffer> | Buffer): Promise<{ status: number; retryAfter: unknown; text: string }>;
    stop(): Promise<void>;
}

export interface PlatformCrowdOptions {
    addressPrefix: string;
    limits: { memoryMb: number; maxFds: number };
    heapMb: number;
    /** Scheduled jobs in the store, which the process loads and keeps. */
    scheduledJobsCount?: number;
}

const path = `/${queueNames[0]}/`;
const answerTimeoutMs = 20_000;
const job = Buffer.from(JSON.stringify({ steps: [{ count: 1, cpu: 100, memMb: 1, estDurationMs: 10 }] }));
const newJobId = (): string => randomBytes(8).toString("hex");

const longestPayload = "x".repeat(4_000);
const dueInMs = 3_600_000;

/** Stores jobs that are not due while a crowd is played. */
function putScheduledJobs(store: StoreStandIn, count: number): void {
    const submittedWallMs = Date.now();
    const submission = {
        queueName: queueNames[0],
        teamName: undefined,
        payload: longestPayload,
        steps: [defaultStep],
        repeat: { firstDueWallMs: submittedWallMs + dueInMs, intervalMs: dueInMs, count: 1 },
        submittedWallMs,
    };
    for (let index = 0; index < count; index++) {
        const jobId = newJobId();
        const text = encodeSubmission({ ...submission, jobId });
        store.putItem({ key: `${jobKeys.submissionPrefix}${jobId}`, value: Buffer.from(text).toString("base64") });
    }
}

/** Starts one process with a store of its own; resolves when the process serves callers. */
export async function startPlatformCrowdTarget(options: PlatformCrowdOptions): Promise<PlatformCrowdTarget> {
    const lifetime = new AbortController();
    const failures: string[] = [];
    const store = await startStoreStandIn({ expiresLeases: true });
    createSoakOperator(store, createSeededRandom(1), () => undefined);
    putScheduledJobs(store, options.scheduledJobsCount ?? 0);
    const [process] = createPlatformProcesses({
        count: 1,
        script: "platform/main.js",
        addressPrefix: options.addressPrefix,
        zones: ["az-1"],
        storeAddress: store.address,
        limits: options.limits,
        heapMb: options.heapMb,
        record: () => undefined,
        onViolation: (rule, fields) => failures.push(`${rule} ${JSON.stringify(fields)}`),
    }, lifetime.signal);
    const target = process!;
    const submit: PlatformCrowdTarget["submit"] = async body => {
        const response = await request(`${target.callerUrl}${path}${newJobId()}`, {
            method: "POST",
            headers: { host: soakHost, credential: constantKey },
            body: body as Buffer,
            headersTimeout: answerTimeoutMs,
            reset: true,
        });
        return { status: response.statusCode, retryAfter: response.headers["retry-after"], text: await response.body.text() };
    };
    const isOrdinaryRequestAnswered = (): Promise<boolean> => submit(job).then(({ status }) => status === 200, () => false);
    const isReadinessAnswered = (): Promise<boolean> =>
        request(`http://${ip}:8081/api/ready`, { headersTimeout: answerTimeoutMs, reset: true }).then(async response => {
            await response.body.dump();
            return response.statusCode === 200;
        }, () => false);
    const ip = new URL(target.callerUrl).hostname;
    target.start();
    await waitUntil(
        "the process serves callers, or has ended",
        async () => failures.length > 0 || await target.isReady() && await isOrdinaryRequestAnswered(),
    );
    if (failures.length > 0) {
        await target.kill();
        store.close();
        throw new Error(`the process cannot start: ${failures.join("; ")}`);
    }
    return {
        limits: options.limits,
        addresses: { callers: new URL(target.callerUrl).host, readiness: `${ip}:8081`, peers: `${ip}:9000` },
        submissionHead: `POST ${path}${newJobId()} HTTP/1.1\r\nhost: ${soakHost}\r\ncredential: ${constantKey}\r\n`,
        requestWithoutKey: `GET ${path}${newJobId()} HTTP/1.1\r\nhost: ${soakHost}\r\n\r\n`,
        pid: target.pid,
        failures: () => failures,
        isOrdinaryRequestAnswered,
        isReadinessAnswered,
        submit,
        stop: async () => {
            await target.kill();
            store.close();
            lifetime.abort();
        },
    };
}
