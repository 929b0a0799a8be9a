/**
 * Checks that each folder imports only what its `DEPS.list` names. A line of the list is a folder from the root
 * (`src/common`), a package (`npm:ws`) or a built-in module (`node:http`); `#` starts a comment.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import path from "node:path";
import ts from "typescript";

const roots = ["src", "platform", "harness", "stand-ins", "demo", "bench", "scripts", "tests"];

function listFolders(folder: string): string[] {
    const children = readdirSync(folder, { withFileTypes: true }).filter(entry => entry.isDirectory());
    return [folder, ...children.flatMap(entry => listFolders(path.posix.join(folder, entry.name)))];
}

/** Reads the list of a folder; the folders of tests share one. */
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
        return [`${folder}: no DEPS.list; add one that names what the folder may import`];
    }
    return files.flatMap(name => {
        const source = readFileSync(path.join(folder, name), "utf8");
        const targets = ts.preProcessFile(source).importedFiles.map(file => importTarget(folder, file.fileName));
        const refused = targets.filter(target => target !== folder && !allowed.has(target));
        return refused.map(target => `${folder}/${name}: imports '${target}', which ${folder}/DEPS.list does not name`);
    });
}

const problems = roots.filter(existsSync).flatMap(listFolders).flatMap(checkFolder);
problems.forEach(problem => console.error(problem));
process.exitCode = problems.length > 0 ? 1 : 0;
