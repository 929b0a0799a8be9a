/** Collects what was sent, answered and run in a case, and writes it to a file. */
import { writeFileSync } from "node:fs";

export interface CaseRecord {
    /** Milliseconds since the record began. */
    nowMs(): number;
    add(what: string, fields?: object): void;
    write(file: string): void;
}

export function createRecord(): CaseRecord {
    const beganAtMs = performance.now();
    const lines: string[] = [];
    const nowMs = (): number => Math.round(performance.now() - beganAtMs);
    return {
        nowMs,
        add: (what, fields = {}) => void lines.push(`${(nowMs() / 1000).toFixed(3)} ${what} ${JSON.stringify(fields)}`),
        write: file => writeFileSync(file, `${lines.join("\n")}\n`),
    };
}
