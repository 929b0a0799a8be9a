/**
 * Runs the test files, prints the results and writes them to dist/tests.tap. If arguments are given, only files whose path
 * contains one of them are run.
 */
import { createWriteStream, readdirSync } from "node:fs";
import path from "node:path";
import { run } from "node:test";
import { spec, tap } from "node:test/reporters";

const testFolder = path.join("dist", "tests");
const maxConcurrentFiles = 4;
const tapFile = path.join("dist", "tests.tap");

const pathFilters = process.argv.slice(2);
const files = readdirSync(testFolder, { recursive: true, encoding: "utf8" })
    .filter(file => file.endsWith(".spec.js") && (pathFilters.length === 0 || pathFilters.some(part => file.includes(part))))
    .map(file => path.resolve(testFolder, file))
    .sort();

const stream = run({ files, concurrency: maxConcurrentFiles });
stream.on("test:fail", () => {
    process.exitCode = 1;
});
stream.compose(new spec()).pipe(process.stdout);
stream.compose(tap).pipe(createWriteStream(tapFile));
