/** Text of a value that another process or writer has sent, for a log line or an error: short, whatever the value contains. */
import { inspect } from "node:util";

const maxChars = 200;
const maxElements = 10;
const maxDepth = 2;

/** Returns text as it is, and other values as JavaScript would show them. */
export function describeValue(value: unknown): string {
    if (typeof value === "string") {
        return value.slice(0, maxChars);
    }
    const text = inspect(value, {
        breakLength: Number.POSITIVE_INFINITY,
        depth: maxDepth,
        maxArrayLength: maxElements,
        maxStringLength: maxChars,
    });
    return text.slice(0, maxChars);
}
