/** Findings: all errors in an input are collected with their locations and reported together. */

/** One error in an input and its location. */
export interface Finding {
    /** File, flag or part of a request that contains the value. */
    source: string;
    /** Line in `source`, from 1; `undefined` where the source has no lines. */
    line?: number;
    /** Dot-separated path of the field. */
    path: string;
    /** The value that was found, truncated. */
    found: string;
    /** Which values the field allows, or how to fix the error. */
    allowed: string;
}

/** Longer values are truncated in findings. */
const maximumQuotedChars = 80;

/** Formats a value as one short line. */
export function quoteValue(value: unknown): string {
    const text = value === undefined ? "nothing" : JSON.stringify(value);
    return text.length > maximumQuotedChars ? `${text.slice(0, maximumQuotedChars)}...` : text;
}

/** Formats one finding as `source:line: path: found X; allowed: Y`. */
export function formatFinding(finding: Finding): string {
    const location = finding.line === undefined ? finding.source : `${finding.source}:${finding.line}`;
    return `${location}: ${finding.path}: found ${finding.found}; allowed: ${finding.allowed}`;
}

/** Formats findings, one per line. */
export function formatFindings(findings: readonly Finding[]): string {
    return findings.map(formatFinding).join("\n");
}
