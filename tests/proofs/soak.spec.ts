/** A short run of the fault soak with real processes, with fixed seeds. `npm run soak` runs others. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runSoak } from "../platform/soak.js";

/** Together they draw each kind of fault in which workers restart under their ids or leave commands unanswered. */
const seeds = [3, 17];
const processesCount = 5;
const faultsMs = 18_000;
const lastReportedLinesCount = 40;

describe("fault soak", () => {
    seeds.forEach(seed => {
        it(`should keep its promises under overlapping faults (seed ${seed})`, async () => {
            const { violations, summary, events } = await runSoak({ seed, processesCount, faultsMs, addressPrefix: "127.46" });
            assert.ok((summary["accepted"] as number) > 0, "no job was accepted");
            assert.deepEqual(violations, [], events.slice(-lastReportedLinesCount).join("\n"));
        });
    });
});
