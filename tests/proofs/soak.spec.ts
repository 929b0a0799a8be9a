/** Short runs of the fault soak with real processes, with fixed seeds. `npm run soak` runs others. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runSoak } from "../platform/soak.js";

/** Together, the seeds draw each kind of fault in which workers restart under their ids or leave commands unanswered. */
const runs = [
    { seed: 3, faultsMs: 18_000, faultsPerS: 0.8 },
    { seed: 17, faultsMs: 18_000, faultsPerS: 0.8 },
    { seed: 603, faultsMs: 15_000, faultsPerS: 0.2 },
];
const processesCount = 5;
const lastReportedLinesCount = 40;

describe("fault soak", () => {
    runs.forEach(options => {
        it(`should keep its promises under overlapping faults (seed ${options.seed})`, async () => {
            const { violations, summary, events } = await runSoak({ ...options, processesCount, addressPrefix: "127.46" });
            assert.ok((summary["accepted"] as number) > 0, "no job was accepted");
            assert.deepEqual(violations, [], events.slice(-lastReportedLinesCount).join("\n"));
        });
    });
});
