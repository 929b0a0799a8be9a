/** A sink that forwards a response and records a copy of it. */
import { type Outcome, outcomes } from "../common/outcomes.js";
import type { StoredResponse } from "../process/idempotencyStore.js";
import type { ResponseSink } from "./responseSink.js";

/** Wraps a sink; a body larger than `maxBodyBytes` is forwarded but not recorded. */
export function createRecordingSink(sink: ResponseSink, maxBodyBytes: number): { sink: ResponseSink; response(): StoredResponse } {
    const chunks: Buffer[] = [];
    let length = 0;
    let head: { statusCode: number; headers: Record<string, string | string[]>; outcome: Outcome } = {
        statusCode: 0,
        headers: {},
        outcome: outcomes.unknown,
    };
    return {
        response: () => ({ ...head, body: length <= maxBodyBytes ? Buffer.concat(chunks) : undefined }),
        sink: {
            ...sink,
            start: (statusCode, headers, outcome) => {
                head = { statusCode, headers, outcome };
                sink.start(statusCode, headers, outcome);
            },
            write: chunk => {
                length += chunk.length;
                if (length <= maxBodyBytes) {
                    chunks.push(Buffer.from(chunk));
                }
                else {
                    chunks.length = 0;
                }
                return sink.write(chunk);
            },
        },
    };
}
