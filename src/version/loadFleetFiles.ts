/** Loads a fleet document from `base.yaml` and `sites/<availability zone>.yaml`, with the source location of each value. */
import { readdirSync, readFileSync } from "node:fs";
import path from "node:path";
import { type Document, isMap, isNode, LineCounter, parseDocument } from "yaml";
import { type Finding, quoteValue } from "../common/findings.js";
import { Err, Ok, type Result } from "../common/results.js";
import { baseSource, type FleetDocument, type PlainObject } from "./fleetDocument.js";

/** A fleet document with the source locations of its values. */
export interface LoadedFleet {
    document: FleetDocument;
    /** Adds the file and line to a finding. */
    locate(finding: Finding): Finding;
}

interface LoadedFile {
    file: string;
    document: Document;
    lines: LineCounter;
}

const baseFile = "base.yaml";
const sitesFolder = "sites";
const overlayPattern = /^(.+)\.ya?ml$/;

function readFile(file: string): Result<LoadedFile, Finding[]> {
    const lines = new LineCounter();
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return Err([{
            source: file,
            path: "",
            found: error instanceof Error ? error.message : "unreadable file",
            allowed: "a readable file",
        }]);
    }
    const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true });
    const findings: Finding[] = document.errors.map(error => ({
        source: file,
        line: error.linePos?.[0].line,
        path: "",
        found: error.message.split("\n")[0] ?? "",
        allowed: "valid YAML",
    }));
    if (findings.length === 0 && !isMap(document.contents)) {
        findings.push({ source: file, path: "", found: quoteValue(document.toJS()), allowed: "a mapping of fields to values" });
    }
    return findings.length > 0 ? Err(findings) : Ok({ file, document, lines });
}

/** Returns the line of a field, or of its nearest ancestor that exists in the file. */
function findLine(loaded: LoadedFile, fieldPath: string): number | undefined {
    const names = fieldPath === "" ? [] : fieldPath.split(".");
    for (let length = names.length; length > 0; length--) {
        const parent = length === 1 ? loaded.document.contents : loaded.document.getIn(names.slice(0, length - 1), true);
        const pair = isMap(parent) ? parent.items.find(item => String(item.key) === names[length - 1]) : undefined;
        const key = pair?.key;
        if (isNode(key) && key.range) {
            return loaded.lines.linePos(key.range[0]).line;
        }
    }
    return undefined;
}

function listOverlayFiles(folder: string): Result<{ zone: string; file: string }[], Finding[]> {
    const sites = path.join(folder, sitesFolder);
    try {
        const files = readdirSync(sites).sort().flatMap(name => {
            const match = overlayPattern.exec(name);
            return match ? [{ zone: match[1]!, file: path.join(sites, name) }] : [];
        });
        return Ok(files);
    }
    catch {
        return Err([{ source: sites, path: "", found: "no readable folder", allowed: "a folder with one overlay per availability zone" }]);
    }
}

/** Loads the files of a folder, or returns the findings of all files that cannot be read or parsed. */
export function loadFleetFiles(folder: string): Result<LoadedFleet, Finding[]> {
    const overlayFiles = listOverlayFiles(folder);
    if (overlayFiles.err) {
        return overlayFiles;
    }
    const read = [{ zone: baseSource, file: path.join(folder, baseFile) }, ...overlayFiles.val].map(({ zone, file }) => ({
        zone,
        result: readFile(file),
    }));
    const findings = read.flatMap(({ result }) => result.err ? result.val : []);
    if (findings.length > 0) {
        return Err(findings);
    }
    const loaded = new Map(read.map(({ zone, result }) => [zone, result.unwrap()]));
    const trees = [...loaded].map(([zone, file]) => [zone, file.document.toJS() as PlainObject] as const);
    const document: FleetDocument = {
        base: trees[0]![1],
        overlays: Object.fromEntries(trees.slice(1)),
    };
    const locate = (finding: Finding): Finding => {
        const file = loaded.get(finding.source);
        return file ? { ...finding, source: file.file, line: findLine(file, finding.path) } : finding;
    };
    return Ok({ document, locate });
}
