/**
 * A worker is cut off for 5.5 s, crashes behind the cut and starts again under its id. A start and a listing that were under way to it are
 * carried out late, by its new life. The task must not be started again after its end was acknowledged.
 */
import path from "node:path";
import { callerHeaders, createConfiguration, newJobId } from "../rig/configuration.js";
import { startFleet } from "../rig/fleet.js";
import { type HeldCalls, startHeldCalls } from "../rig/heldCalls.js";
import { sleep, waitFor } from "../rig/http.js";
import { createRecord } from "../rig/record.js";
import { bounds } from "../rig/settings.js";

const isDisturbed = process.env["TROUBLE"] !== "0";
const workerId = "i-crews-0";
const label = "scanner";
const cutMs = 5_500;
const rebornAfterMs = 500;
/** The platform carries unanswered calls out 2 to 12 s later. */
const startHeldMs = 2_000;
const listingHeldMs = 3_000;
const workMs = 300;
const exitCodes = { held: 0, broken: 1, notRun: 2 } as const;

const record = createRecord();
let calls: HeldCalls | undefined;
const fleet = await startFleet({
    record,
    zones: ["keflavik", "hafnarfjordur", "grindavik"],
    services: { crews: 6 },
    entryCount: 3,
    configuration: createConfiguration([{ name: "fit", service: "crews", maxAttempts: 4 }], ["crews"]),
    cpuPerWorker: 16_000,
    extraLabel: { workerId, label },
    placeBefore: async (id, address) => {
        if (id !== workerId) {
            return address;
        }
        calls = await startHeldCalls(address, record);
        return calls.address;
    },
});
const { runs, workers, entries } = fleet;

async function submit(): Promise<string | undefined> {
    const jobId = newJobId();
    const step = { count: 1, cpu: 1_900, memMb: 256, estDurationMs: workMs, requires: label };
    const body = { spec: JSON.stringify({ workMs, how: "done" }), steps: [step] };
    const { status } = await fleet.call(entries[0]!, "POST", `/fit/${jobId}`, { headers: callerHeaders, body });
    return status === 200 ? jobId : undefined;
}
const runsOf = (jobId: string) => runs.filter(({ task }) => task.startsWith(jobId));

async function runCase(held: HeldCalls): Promise<number> {
    const earlier = await submit();
    if (earlier === undefined || !await waitFor(() => runsOf(earlier).some(({ isAcknowledged }) => isAcknowledged), 10_000)) {
        return exitCodes.notRun;
    }
    await sleep(500);
    let isListingHeld = false;
    let isStartHeld = false;
    if (isDisturbed) {
        held.holdFor = (target, body) => {
            if (target === "/api/hold" && !isListingHeld && Number(body["lastSeen"]) > 0 && Number(body["waitMs"]) > 0) {
                isListingHeld = true;
                return listingHeldMs;
            }
            if (target === "/api/run-start" && isListingHeld && !isStartHeld) {
                isStartHeld = true;
                return startHeldMs;
            }
            return undefined;
        };
        if (!await waitFor(() => isListingHeld, 5_000)) {
            return exitCodes.notRun;
        }
    }
    const jobId = await submit();
    if (jobId === undefined) {
        return exitCodes.notRun;
    }
    if (isDisturbed) {
        if (!await waitFor(() => isStartHeld, 1_000)) {
            return exitCodes.notRun;
        }
        const worker = workers.find(({ id }) => id === workerId)!;
        held.isCut = true;
        record.add("the worker is cut off", { workerId });
        worker.kill();
        await sleep(rebornAfterMs);
        worker.start();
        await sleep(cutMs - rebornAfterMs);
        held.isCut = false;
        record.add("the cut ends", { workerId });
    }
    await sleep(bounds.finish_s * 1_000);
    const ofJob = runsOf(jobId);
    const again = ofJob.filter(run =>
        ofJob.some(each => each.how === "done" && each.isAcknowledged && (each.endedAtMs ?? 0) < run.startedAtMs)
    );
    record.add("judged", { runs: ofJob });
    if (again.length > 0) {
        record.add("TWICE: a start after a run has ended `done` and its end was taken note of", { again });
        return exitCodes.broken;
    }
    return ofJob.some(({ how }) => how === "done") ? exitCodes.held : exitCodes.notRun;
}

let exitCode: number = exitCodes.notRun;
try {
    exitCode = calls ? await runCase(calls) : exitCodes.notRun;
}
finally {
    calls?.close();
    await fleet.end();
    record.write(path.join(process.argv[2] ?? ".", "record.txt"));
}
process.exit(exitCode);
