/**
 * Plays the simulation of `tests/process/takeoverEnds.spec.ts` for a range of seeds, and keeps the events of each seed that breaks a rule.
 *
 * Usage: `npm run takeovers -- --seeds 1-5000 [--keep FOLDER]`.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import path from "node:path";
import { parseArgs } from "node:util";
import { playTakeovers } from "../tests/process/takeoverHistory.js";

const { values } = parseArgs({
    options: {
        "seeds": { type: "string", default: "1-1000" },
        "keep": { type: "string", default: path.join("target", "takeovers") },
    },
});
const [firstSeed = 1, lastSeed = firstSeed] = values.seeds.split("-").map(Number);

let failedCount = 0;
let termsCount = 0;
let acknowledgedCount = 0;
for (let seed = firstSeed; seed <= lastSeed; seed++) {
    const history = await playTakeovers(seed);
    termsCount += history.termsCount;
    acknowledgedCount += history.acknowledgedCount;
    const failures = [...history.violations, ...history.unfinished.map(jobId => `${jobId} is not completed`)];
    if (failures.length > 0) {
        failedCount += 1;
        failures.forEach(line => console.log(`seed ${seed}: ${line}`));
        mkdirSync(values.keep, { recursive: true });
        writeFileSync(path.join(values.keep, `seed-${seed}.txt`), `${[...failures, ...history.events].join("\n")}\n`);
    }
}
console.log(`${failedCount} of ${lastSeed - firstSeed + 1} seeds failed; ${termsCount} terms, ${acknowledgedCount} acknowledged ends`);
process.exitCode = failedCount > 0 ? 1 : 0;
