/** Prometheus metrics of a process, with units in their names and bounded label sets. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { SchedulerState } from "../scheduling/schedulerState.js";

const latencyBucketsS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

export type Metrics = ReturnType<typeof createMetrics>;

/** Creates the metrics and their registry. */
export function createMetrics() {
    const registry = new Registry();
    const registers = [registry];
    return {
        registry,
        requestsTotal: new Counter({
            name: "nutmegjunction_requests_total",
            help: "Requests by service, team and outcome.",
            labelNames: ["service", "team", "outcome"],
            registers,
        }),
        requestDurationSeconds: new Histogram({
            name: "nutmegjunction_request_duration_seconds",
            help: "Time from a request's arrival to the end of its answer.",
            labelNames: ["service"],
            buckets: latencyBucketsS,
            registers,
        }),
        queueDurationSeconds: new Histogram({
            name: "nutmegjunction_queue_duration_seconds",
            help: "Time that a request waited for a slot.",
            labelNames: ["service"],
            buckets: latencyBucketsS,
            registers,
        }),
        jobRequestDurationSeconds: new Histogram({
            name: "nutmegjunction_job_request_duration_seconds",
            help: "Time from the arrival of a call about a job to its answer.",
            labelNames: ["method", "status"],
            buckets: latencyBucketsS,
            registers,
        }),
        retriesTotal: new Counter({
            name: "nutmegjunction_retries_total",
            help: "Requests that were sent again.",
            labelNames: ["service"],
            registers,
        }),
        allotmentSlots: new Gauge({
            name: "nutmegjunction_allotment_slots",
            help: "Slots of a team's limit that this process may use.",
            labelNames: ["team"],
            registers,
        }),
        configurationVersion: new Gauge({
            name: "nutmegjunction_configuration_version",
            help: "Configuration version in force in this process.",
            registers,
        }),
        evacuatedZones: new Gauge({
            name: "nutmegjunction_evacuated_zones",
            help: "Availability zones under evacuation, as this process knows them.",
            registers,
        }),
        storeCallsTotal: new Gauge({
            name: "nutmegjunction_store_calls_total",
            help: "Calls of the platform's key-value service, by name.",
            labelNames: ["call"],
            registers,
        }),
        storeCopyAgeSeconds: new Gauge({
            name: "nutmegjunction_store_copy_age_seconds",
            help: "Time since the copy of the keys with this prefix was last confirmed to be current.",
            labelNames: ["prefix"],
            registers,
        }),
        jobsNotFoundTotal: new Counter({
            name: "nutmegjunction_jobs_not_found_total",
            help: "Calls about jobs that were answered with 410, by cause.",
            labelNames: ["cause"],
            registers,
        }),
        reservations: new Gauge({
            name: "nutmegjunction_reservations",
            help: "Large steps for which capacity of the pool is reserved, in the process that owns the scheduling.",
            labelNames: ["pool"],
            registers,
        }),
        reservationsTotal: new Gauge({
            name: "nutmegjunction_reservations_total",
            help: "Reservations since the term began, by what became of them.",
            labelNames: ["outcome"],
            registers,
        }),
        clientLimitsTotal: new Counter({
            name: "nutmegjunction_client_limits_total",
            help: "Connections and requests that met a limit of a listener, by limit.",
            labelNames: ["listener", "limit"],
            registers,
        }),
        jobsRefusedTotal: new Counter({
            name: "nutmegjunction_jobs_refused_total",
            help: "Submissions that were refused with 429 because of load, by queue and cause.",
            labelNames: ["queue", "cause"],
            registers,
        }),
        learnedDurations: new Gauge({
            name: "nutmegjunction_learned_durations",
            help: "Queues and images of which this process has learned durations, as the owner of the scheduling.",
            registers,
        }),
        peerBytesTotal: new Counter({
            name: "nutmegjunction_peer_bytes_total",
            help: "Bytes sent to and received from peers.",
            labelNames: ["direction"],
            registers,
        }),
        processCpuSeconds: new Gauge({ name: "nutmegjunction_process_cpu_seconds", help: "Processor time used.", registers }),
        processMemoryBytes: new Gauge({ name: "nutmegjunction_process_memory_bytes", help: "Resident memory.", registers }),
    };
}

/** `state` is that of the term in which this process owns the scheduling. */
function updateScheduling(metrics: Metrics, state: Pick<SchedulerState, "durations" | "reservations"> | undefined): void {
    const reservations = state?.reservations;
    metrics.learnedDurations.set(state?.durations.keysCount() ?? 0);
    metrics.reservations.reset();
    reservations?.byPool.forEach((held, pool) => metrics.reservations.set({ pool }, held.length));
    metrics.reservationsTotal.set({ outcome: "made" }, reservations?.madeCount ?? 0);
    metrics.reservationsTotal.set({ outcome: "used" }, reservations?.usedCount ?? 0);
    metrics.reservationsTotal.set({ outcome: "expired" }, reservations?.expiredCount ?? 0);
}

/** Updates the process metrics and renders all metrics in the Prometheus text format. */
export async function renderMetrics(
    metrics: Metrics,
    storeCalls: Readonly<Record<string, number>>,
    /** Ages of the copies of the store by prefix; `undefined` before the first confirmation. */
    copyAgesMs: Readonly<Record<string, number | undefined>> = {},
    scheduling?: Pick<SchedulerState, "durations" | "reservations">,
): Promise<string> {
    const usage = process.cpuUsage();
    metrics.processCpuSeconds.set((usage.user + usage.system) / 1e6);
    metrics.processMemoryBytes.set(process.memoryUsage.rss());
    Object.entries(storeCalls).forEach(([call, count]) => metrics.storeCallsTotal.set({ call }, count));
    updateScheduling(metrics, scheduling);
    for (const [prefix, ageMs] of Object.entries(copyAgesMs)) {
        if (ageMs !== undefined) {
            metrics.storeCopyAgeSeconds.set({ prefix }, ageMs / 1000);
        }
    }
    return metrics.registry.metrics();
}
