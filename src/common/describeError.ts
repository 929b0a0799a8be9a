/** Text of an error for a log line: the stack where there is one. */
export function describeError(error: unknown): string {
    return error instanceof Error ? error.stack ?? String(error) : String(error);
}
