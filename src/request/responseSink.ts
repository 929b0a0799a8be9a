/** Where an answer goes: the caller, a copy for later, or nowhere once the caller has gone. */
import type http from "node:http";
import type { Outcome } from "../common/outcomes.js";
import { headerNames } from "../connection/httpHeaders.js";
import { type Problem, renderProblem } from "./problems.js";

/** Takes one answer, in order: `start`, any `data`, then `end` or `cut`. */
export interface ResponseSink {
    start(statusCode: number, headers: Record<string, string | string[]>, outcome: Outcome): void;
    /** Takes a part; returns whether more may follow at once. */
    write(chunk: Buffer): boolean;
    /** Calls back once more data may follow. */
    onDrain(callback: () => void): void;
    end(): void;
    /** Ends an answer that had begun and cannot be whole: the receiver must not take it as complete. */
    abort(): void;
}

/** Creates the sink that answers a caller; after the caller has gone it drops what comes. */
export function createCallerResponseSink(response: http.ServerResponse): ResponseSink {
    const isGone = (): boolean => response.destroyed || response.writableEnded;
    let resume: (() => void) | undefined;
    const callResume = (): void => {
        const callback = resume;
        resume = undefined;
        callback?.();
    };
    response.on("drain", callResume);
    response.on("close", callResume);
    return {
        start: (statusCode, headers, outcome) => {
            if (!isGone()) {
                response.writeHead(statusCode, { ...headers, [headerNames.outcome]: outcome });
            }
        },
        write: chunk => isGone() || response.write(chunk),
        onDrain: callback => {
            resume = callback;
        },
        end: () => {
            if (!isGone()) {
                response.end();
            }
        },
        abort: () => void response.destroy(),
    };
}

/** Sends a whole problem answer. */
export function sendProblem(sink: ResponseSink, problem: Problem): void {
    const body = Buffer.from(renderProblem(problem));
    const headers = {
        "content-type": "application/problem+json",
        "content-length": String(body.length),
        [headerNames.requestId]: problem.requestId,
    };
    sink.start(problem.type.statusCode, headers, problem.outcome);
    sink.write(body);
    sink.end();
}
