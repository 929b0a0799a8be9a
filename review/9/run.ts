/**
 * A process freezes for 3.5 s with a caller's submission in its socket. The caller gives up at its deadline and cancels the job at another
 * process, which answers 410: no such job exists. The job must not run afterwards.
 */
import path from "node:path";
import { callerHeaders, createConfiguration, createLastingJob, newJobId } from "../rig/configuration.js";
import { startFleet } from "../rig/fleet.js";
import { sleep, waitFor } from "../rig/http.js";
import { createRecord } from "../rig/record.js";
import { bounds } from "../rig/settings.js";

const isDisturbed = process.env["TROUBLE"] !== "0";
const freezeMs = 3_500;
/** From the freeze to the submission. */
const submittedAfterMs = 100;
/** How long the caller waits for its answer. */
const deadlineMs = 3_000;
const exitCodes = { held: 0, broken: 1, notRun: 2 } as const;

const record = createRecord();
const fleet = await startFleet({
    record,
    zones: ["keflavik", "hafnarfjordur", "grindavik"],
    services: { crews: 6 },
    entryCount: 10,
    configuration: createConfiguration([{ name: "warranty", service: "crews", maxAttempts: 3 }], ["crews"]),
    cpuPerWorker: 16_000,
});
const [frozen, other] = [fleet.entries[9]!, fleet.entries[0]!];

async function runCase(): Promise<number> {
    const jobId = newJobId();
    const target = `/warranty/${jobId}`;
    const runsOfJob = () => fleet.runs.filter(({ task }) => task.startsWith(jobId));
    const headers = { ...callerHeaders, "deadline-ms": String(deadlineMs) };
    let wokenAtMs = record.nowMs();
    if (isDisturbed) {
        frozen.signal("SIGSTOP");
        setTimeout(() => {
            frozen.signal("SIGCONT");
            wokenAtMs = record.nowMs();
        }, freezeMs);
    }
    await sleep(submittedAfterMs);
    const submitted = await fleet.call(frozen, "POST", target, { headers, body: createLastingJob(5, 1_800), timeoutMs: deadlineMs });
    if (isDisturbed !== (submitted.status === 0)) {
        return exitCodes.notRun;
    }
    let acknowledgedAtMs = 0;
    const isCancelled = await waitFor(async () => {
        const { status } = await fleet.call(other, "DELETE", target, { headers });
        acknowledgedAtMs = record.nowMs();
        return status === 200 || status === 410;
    }, bounds.ackMs);
    if (!isCancelled) {
        return exitCodes.notRun;
    }
    await waitFor(() => !isDisturbed || wokenAtMs > acknowledgedAtMs, freezeMs);
    // By then the job must be gone, and no disruption is near.
    const goneAtMs = Math.max(acknowledgedAtMs + bounds.cancel_ms, wokenAtMs + bounds.contactMs) + bounds.stopMs;
    await sleep(goneAtMs + bounds.contactMs - record.nowMs());
    await fleet.call(other, "GET", target, { headers });
    const runsOn = runsOfJob().filter(run => (run.endedAtMs ?? Number.POSITIVE_INFINITY) > goneAtMs);
    record.add("judged", { acknowledgedAtMs, wokenAtMs, goneAtMs, nowMs: record.nowMs(), runs: runsOfJob() });
    if (runsOn.length > 0) {
        record.add("UNASKED: tasks of a job run on after its cancelling was acknowledged", { tasks: runsOn.map(({ task }) => task) });
    }
    return runsOn.length > 0 ? exitCodes.broken : exitCodes.held;
}

let exitCode: number = exitCodes.notRun;
try {
    exitCode = await runCase();
}
finally {
    await fleet.end();
    record.write(path.join(process.argv[2] ?? ".", "record.txt"));
}
process.exit(exitCode);
