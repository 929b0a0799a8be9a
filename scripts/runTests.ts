/** Runs the tests, prints them, and writes the results to dist/tests.tap. Arguments narrow the files by a part of their path. */
import { createWriteStream, readdirSync } from "node:fs";
import path from "node:path";
import { run } from "node:test";
import { spec, tap } from "node:test/reporters";

const testFolder = path.join("dist", "tests");
const filesAtATime = 4;
const tapFile = path.join("dist", "tests.tap");

const parts = process.argv.slice(2);
const files = readdirSync(testFolder, { recursive: true, encoding: "utf8" })
    .filter(file => file.endsWith(".spec.js") && (parts.length === 0 || parts.some(part => file.includes(part))))
    .map(file => path.resolve(testFolder, file))
    .sort();

const stream = run({ files, concurrency: filesAtATime });
stream.on("test:fail", () => {
    process.exitCode = 1;
});
stream.compose(new spec()).pipe(process.stdout);
stream.compose(tap).pipe(createWriteStream(tapFile));
