/** Findings: every fault of an input is collected with its place, then all are reported together. */

/** One fault of an input and the place where it stands. */
export interface Finding {
    /** File, flag or request part that holds the value. */
    source: string;
    /** Line in `source`, from 1; `undefined` where the source has no lines. */
    line?: number;
    /** Path of the field, joined by dots. */
    path: string;
    /** The value that was read, shortened. */
    found: string;
    /** What the field allows, or what to do next. */
    allowed: string;
}

/** Longest quoted value in a finding, in characters. */
const longestQuoteChars = 80;

/** Shows a value in one short line. */
export function quoteValue(value: unknown): string {
    const text = value === undefined ? "nothing" : JSON.stringify(value);
    return text.length > longestQuoteChars ? `${text.slice(0, longestQuoteChars)}...` : text;
}

/** Formats one finding as `source:line: path: found X; allowed: Y`. */
export function formatFinding(finding: Finding): string {
    const place = finding.line === undefined ? finding.source : `${finding.source}:${finding.line}`;
    return `${place}: ${finding.path}: found ${finding.found}; allowed: ${finding.allowed}`;
}

/** Formats a report of all findings, one a line. */
export function formatFindings(findings: readonly Finding[]): string {
    return findings.map(formatFinding).join("\n");
}
