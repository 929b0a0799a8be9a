/**
 * Runs the fault soak for a range of seeds, and keeps the events and logs of each seed that breaks a rule.
 *
 * Usage: `npm run soak -- --seeds 1-50 [--processes N] [--faults-s N] [--faults-per-s N] [--script FILE] [--keep FOLDER]`.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import path from "node:path";
import { parseArgs } from "node:util";
import { describeError } from "../src/common/describeError.js";
import { runSoak } from "../tests/platform/soak.js";

const { values } = parseArgs({
    options: {
        "seeds": { type: "string", default: "1-5" },
        "processes": { type: "string", default: "6" },
        "script": { type: "string" },
        "faults-s": { type: "string", default: "25" },
        "faults-per-s": { type: "string" },
        "keep": { type: "string", default: path.join("target", "soak") },
    },
});
const [firstSeed = 1, lastSeed = firstSeed] = values.seeds.split("-").map(Number);
/** Addresses of this run, which no other run at the same time uses. */
const addressPrefix = `127.${100 + process.pid % 150}`;

let failedCount = 0;
for (let seed = firstSeed; seed <= lastSeed; seed++) {
    const faultsMs = Number(values["faults-s"]) * 1_000;
    const result = await runSoak({
        seed,
        processesCount: Number(values.processes),
        script: values.script,
        faultsMs,
        faultsPerS: values["faults-per-s"] === undefined ? undefined : Number(values["faults-per-s"]),
        addressPrefix,
    }).catch(describeError);
    if (typeof result === "string") {
        failedCount += 1;
        console.log(`seed ${seed} could not run: ${result}`);
        continue;
    }
    console.log(JSON.stringify({ ...result.summary, violations: result.violations.length }));
    if (result.violations.length > 0) {
        failedCount += 1;
        result.violations.forEach(line => console.log(`  ${line}`));
        const folder = path.join(values.keep, `seed-${seed}-processes-${values.processes}`);
        mkdirSync(folder, { recursive: true });
        writeFileSync(path.join(folder, "events.txt"), `${result.events.join("\n")}\n`);
        result.processLogs.forEach((lines, name) => writeFileSync(path.join(folder, `${name}.log`), `${lines.join("\n")}\n`));
    }
}
process.exitCode = failedCount > 0 ? 1 : 0;
