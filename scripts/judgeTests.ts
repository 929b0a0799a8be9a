/** Judges the results of a test run against the list of known failures. */
import { readFileSync } from "node:fs";

const listedTitlePrefix = "test: ";

function readListedTitles(knownRedFile: string): Set<string> {
    const lines = readFileSync(knownRedFile, "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith(listedTitlePrefix)).map(line => line.slice(listedTitlePrefix.length).trim()));
}

interface TapResult {
    depth: number;
    title: string;
    hasPassed: boolean;
}

/** Reads the results of tests without their suites. TAP reports a suite after its tests, at a smaller indentation. */
function readLeaves(tapFile: string): TapResult[] {
    const leaves: TapResult[] = [];
    /** Results whose suite was not reported yet. */
    let open: TapResult[] = [];
    for (const line of readFileSync(tapFile, "utf8").split("\n")) {
        const match = /^( *)(not )?ok \d+ - (.*?)( # .*)?$/.exec(line);
        if (!match) {
            continue;
        }
        const result = { depth: match[1]!.length, title: match[3]!, hasPassed: match[2] === undefined };
        const members = open.filter(earlier => earlier.depth > result.depth);
        // A suite that fails without a failed test has failed by itself, for example in a hook.
        const isExplained = result.hasPassed || members.some(member => !member.hasPassed);
        if (members.length === 0 || !isExplained) {
            leaves.push(result);
        }
        open = [...open.filter(earlier => earlier.depth <= result.depth), result];
    }
    return leaves;
}

export interface TestJudgement {
    /** Whether tests were run, and every failure is listed. */
    mayPass: boolean;
    listedFailures: string[];
    otherFailures: string[];
    /** Listed tests that passed. */
    listedPasses: string[];
}

export function judgeTests(tapFile: string, knownRedFile: string): TestJudgement {
    const listed = readListedTitles(knownRedFile);
    const leaves = readLeaves(tapFile);
    const failed = leaves.filter(({ hasPassed }) => !hasPassed).map(({ title }) => title);
    const passed = new Set(leaves.filter(({ hasPassed }) => hasPassed).map(({ title }) => title));
    const otherFailures = failed.filter(title => !listed.has(title));
    return {
        mayPass: leaves.length > 0 && otherFailures.length === 0,
        listedFailures: failed.filter(title => listed.has(title)),
        otherFailures,
        listedPasses: [...listed].filter(title => passed.has(title) && !failed.includes(title)),
    };
}
