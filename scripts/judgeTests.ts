/**
 * Checks a failed test run against the list of known failures. Exits with 0 only if at least one test failed and every
 * failed test is listed; a run that failed without a failed test exits with 1. Prints both kinds of failures.
 *
 * Usage: `judgeTests.js <TAP file> <known failures file>`.
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

/** Returns the titles of failed leaf tests. TAP reports a failed suite after its tests, at a smaller indentation. */
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
