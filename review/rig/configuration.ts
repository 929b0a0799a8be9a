/** The operator's configuration of a case, and the jobs that callers send. */
import { randomBytes } from "node:crypto";
import type { TaskSpec } from "./worker.js";

export const host = "queues.example";
export const apiKey = "sjnbanfqasnmgkcuyj8p";
export const callerHeaders = { host, credential: apiKey };

export interface QueueOptions {
    name: string;
    service: string;
    maxAttempts: number;
}

/** Each queue has the path prefix `/NAME/`; there is one tenant without limits. */
export function createConfiguration(queues: readonly QueueOptions[], services: readonly string[]): object {
    return {
        version: 7,
        routes: queues.map(({ name, service, maxAttempts }) => ({
            name: `r-${name}`,
            host,
            prefix: `/${name}/`,
            kind: "non_idempotent",
            timeoutMs: 3_000,
            sloMs: 600,
            priority: 0,
            service,
            maxAttempts,
            stretch: 1.6,
            public: false,
        })),
        services: services.map(name => ({
            name,
            healthPath: "/health",
            maxConns: 64,
            protocol: "h1",
            tls: false,
            enforcesCapacity: false,
            standby: false,
        })),
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "cugo130", apiKeys: [apiKey], priority: 1, weight: 50, maxCount: { cpu: 0, memMb: 0, gpu: 0 } }],
    };
}

export const newJobId = (): string => randomBytes(8).toString("hex");

/** A job of one step of short tasks. */
export function createJob(count: number, cpu: number, spec: TaskSpec): object {
    return { spec: JSON.stringify(spec), steps: [{ count, cpu, memMb: 256, estDurationMs: spec.workMs }] };
}

/** A job of tasks that last until it is cancelled. */
export function createLastingJob(count: number, cpu: number, more: { antiAffinity?: number; mayMiss?: number } = {}): object {
    const spec: TaskSpec = { workMs: 0, how: "done" };
    return { spec: JSON.stringify(spec), steps: [{ count, cpu, memMb: 256, estDurationMs: 700, longRunning: true, ...more }] };
}
