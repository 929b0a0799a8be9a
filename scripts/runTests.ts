/**
 * Runs the test files, prints the results and writes them to dist/tests.tap. If arguments are given, only files whose path
 * contains one of them are run. The crowds of hostile clients run last and one at a time, since they need the machine for themselves.
 * Exits with 1 if a test failed that KNOWN-RED.txt does not list, or if none was run.
 */
import { createWriteStream, readdirSync, writeFileSync } from "node:fs";
import path from "node:path";
import { finished } from "node:stream/promises";
import { run } from "node:test";
import { spec, tap } from "node:test/reporters";
import { judgeTests } from "./judgeTests.js";

const testFolder = path.join("dist", "tests");
const maxConcurrentFiles = 4;
const crowdFolder = path.resolve(testFolder, "crowds");
const tapFile = path.join("dist", "tests.tap");
const knownRedFile = "KNOWN-RED.txt";

const pathFilters = process.argv.slice(2);
const files = readdirSync(testFolder, { recursive: true, encoding: "utf8" })
    .filter(file => file.endsWith(".spec.js") && (pathFilters.length === 0 || pathFilters.some(part => file.includes(part))))
    .map(file => path.resolve(testFolder, file))
    .sort();

const isCrowd = (file: string): boolean => path.dirname(file) === crowdFolder;

async function runFiles(phaseFiles: string[], concurrency: number): Promise<void> {
    if (phaseFiles.length === 0) {
        return;
    }
    const stream = run({ files: phaseFiles, concurrency });
    stream.compose(new spec()).pipe(process.stdout, { end: false });
    await finished(stream.compose(tap).pipe(createWriteStream(tapFile, { flags: "a" })));
}

writeFileSync(tapFile, "");
await runFiles(files.filter(file => !isCrowd(file)), maxConcurrentFiles);
await runFiles(files.filter(isCrowd), 1);
const judgement = judgeTests(tapFile, knownRedFile);
judgement.listedFailures.forEach(title => console.log(`known failure: ${title}`));
judgement.listedPasses.forEach(title => console.log(`known failure that passed: ${title}`));
judgement.otherFailures.forEach(title => console.error(`failed: ${title}`));
process.exitCode = judgement.mayPass ? 0 : 1;
