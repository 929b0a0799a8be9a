/**
 * One of ten executors goes down and up by turns. A job of five tasks that last has one of them there, since the other executors are full or
 * have a task of the step already. The job must not be shown as failed, and its tasks must be started again.
 */
import path from "node:path";
import { callerHeaders, createConfiguration, createJob, createLastingJob, newJobId } from "../rig/configuration.js";
import { startFleet } from "../rig/fleet.js";
import { sleep, waitFor } from "../rig/http.js";
import { createRecord } from "../rig/record.js";
import { bounds } from "../rig/settings.js";

const isDisturbed = process.env["TROUBLE"] !== "0";
const workersCount = 10;
const cpuPerWorker = 16_000;
const lastingTasksCount = 5;
/** Outlasts the case. */
const fillingWorkMs = 60_000;
const flapPeriodMs = 1_400;
const flapDurationMs = 6_500;
const exitCodes = { held: 0, broken: 1, notRun: 2 } as const;

const record = createRecord();
const fleet = await startFleet({
    record,
    zones: ["keflavik", "hafnarfjordur", "grindavik"],
    services: { crews: workersCount },
    entryCount: 3,
    configuration: createConfiguration([{ name: "warranty", service: "crews", maxAttempts: 3 }], ["crews"]),
    cpuPerWorker,
});
const [first, second] = [fleet.entries[0]!, fleet.entries[1]!];

async function flap(workerId: string): Promise<void> {
    const worker = fleet.workers.find(({ id }) => id === workerId)!;
    const endsAtMs = record.nowMs() + flapDurationMs;
    record.add("the executor begins to go down and up", { workerId });
    while (record.nowMs() < endsAtMs) {
        worker.kill();
        await sleep(flapPeriodMs / 2);
        worker.start();
        await sleep(flapPeriodMs / 2);
    }
    record.add("the executor stays up", { workerId });
}

async function runCase(): Promise<number> {
    const filling = createJob(workersCount - lastingTasksCount, cpuPerWorker, { workMs: fillingWorkMs, how: "done" });
    await fleet.call(first, "POST", `/warranty/${newJobId()}`, { headers: callerHeaders, body: filling });
    if (!await waitFor(() => fleet.runs.length === workersCount - lastingTasksCount, 10_000)) {
        return exitCodes.notRun;
    }
    const jobId = newJobId();
    const target = `/warranty/${jobId}`;
    const body = createLastingJob(lastingTasksCount, 1_800, { antiAffinity: 1, mayMiss: 1 });
    const submitted = await fleet.call(first, "POST", target, { headers: callerHeaders, body });
    const runsOfJob = () => fleet.runs.filter(({ task }) => task.startsWith(jobId));
    if (submitted.status !== 200 || !await waitFor(() => runsOfJob().length === lastingTasksCount, 5_000)) {
        return exitCodes.notRun;
    }
    if (isDisturbed) {
        await flap(runsOfJob()[0]!.workerId);
    }
    const askState = async (): Promise<unknown> => (await fleet.call(second, "GET", target, { headers: callerHeaders })).body["state"];
    await sleep(bounds.finish_s * 1_000);
    const state = await askState();
    const atWorkCount = runsOfJob().filter(({ how }) => how === undefined).length;
    const failedCount = runsOfJob().filter(({ how }) => how === "failed").length;
    const runs = runsOfJob().map(({ task, workerId, runId, how }) => ({ task, workerId, runId, how }));
    record.add("judged", { state, atWorkCount, failedCount, runs });
    if (state === "failed" && failedCount === 0) {
        record.add("LOST: an accepted job that nobody has cancelled is shown as failed without cause", { jobId });
        return exitCodes.broken;
    }
    return state === "running" && atWorkCount === lastingTasksCount ? exitCodes.held : exitCodes.notRun;
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
