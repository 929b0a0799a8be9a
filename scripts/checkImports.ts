/**
 * Checks that the files of each folder import only the dependencies listed in its `DEPS.list`. An entry is a folder relative
 * to the project root (`src/common`), a package (`npm:ws`) or a built-in module (`node:http`). `#` starts a comment.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import path from "node:path";
import ts from "typescript";

const roots = ["src", "platform", "harness", "stand-ins", "demo", "bench", "scripts", "tests"];

function listFolders(folder: string): string[] {
    const children = readdirSync(folder, { withFileTypes: true }).filter(entry => entry.isDirectory());
    return [folder, ...children.flatMap(entry => listFolders(path.posix.join(folder, entry.name)))];
}

/** Reads the allowed imports of a folder, or returns `undefined` if it has no list. All folders below `tests` share one list. */
function readAllowed(folder: string): Set<string> | undefined {
    const file = path.join(folder.startsWith("tests/") ? "tests" : folder, "DEPS.list");
    if (!existsSync(file)) {
        return undefined;
    }
    const lines = readFileSync(file, "utf8").split("\n").map(line => line.replace(/#.*/, "").trim());
    return new Set(lines.filter(line => line !== ""));
}

function importTarget(folder: string, specifier: string): string {
    if (specifier.startsWith(".")) {
        return path.posix.dirname(path.posix.normalize(path.posix.join(folder, specifier)));
    }
    return specifier.startsWith("node:") ? specifier : `npm:${specifier}`;
}

function checkFolder(folder: string): string[] {
    const files = readdirSync(folder).filter(name => name.endsWith(".ts"));
    const allowed = readAllowed(folder);
    if (files.length === 0) {
        return [];
    }
    if (!allowed) {
        return [`${folder}: DEPS.list is missing; add one that lists the allowed imports`];
    }
    return files.flatMap(name => {
        const source = readFileSync(path.join(folder, name), "utf8");
        const targets = ts.preProcessFile(source).importedFiles.map(file => importTarget(folder, file.fileName));
        const refused = targets.filter(target => target !== folder && !allowed.has(target));
        return refused.map(target => `${folder}/${name}: import of '${target}' is not listed in ${folder}/DEPS.list`);
    });
}

const problems = roots.filter(existsSync).flatMap(listFolders).flatMap(checkFolder);
problems.forEach(problem => console.error(problem));
process.exitCode = problems.length > 0 ? 1 : 0;
