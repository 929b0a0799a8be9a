/**
 * Judges a failed test run: exits 0 only if every failed test is listed in the known-red file, and prints those.
 * Usage: judgeTests.js <TAP file> <known-red file>.
 */
import { readFileSync } from "node:fs";

const [tapFile = "dist/tests.tap", knownRedFile = "KNOWN-RED.txt"] = process.argv.slice(2);

function readKnownRed(): Set<string> {
    const lines = readFileSync(knownRedFile, "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim()));
}

interface TapResult {
    depth: number;
    title: string;
}

/** Failed leaf tests: a failed suite stands after its members, at a smaller depth. */
function readFailedLeaves(): string[] {
    const lines = readFileSync(tapFile, "utf8").split("\n");
    const failed: TapResult[] = [];
    const leaves: string[] = [];
    lines.forEach(line => {
        const match = /^( *)not ok \d+ - (.*?)( # .*)?$/.exec(line);
        if (!match) {
            return;
        }
        const result = { depth: match[1]!.length, title: match[2]! };
        const hasFailedMember = failed.some(earlier => earlier.depth > result.depth);
        if (!hasFailedMember) {
            leaves.push(result.title);
        }
        failed.splice(0, failed.length, ...failed.filter(earlier => earlier.depth <= result.depth), result);
    });
    return leaves;
}

const knownRed = readKnownRed();
const failedTitles = readFailedLeaves();
const unexpected = failedTitles.filter(title => !knownRed.has(title));
failedTitles.filter(title => knownRed.has(title)).forEach(title => console.log(`known red: ${title}`));
unexpected.forEach(title => console.error(`failed: ${title}`));
process.exitCode = failedTitles.length === 0 || unexpected.length > 0 ? 1 : 0;
