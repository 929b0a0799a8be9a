/** Destination of a response: the caller's connection, or a wrapper that also records the response. */
import type http from "node:http";
import type { Outcome } from "../common/outcomes.js";
import { headerNames } from "../connection/httpHeaders.js";
import { type Problem, renderProblem } from "./problems.js";

/** Receives one response: `start`, any number of `write` calls, then `end` or `abort`. */
export interface ResponseSink {
    start(statusCode: number, headers: Record<string, string | string[]>, outcome: Outcome): void;
    /** Writes a part of the body; returns `false` if the writer should wait for `onDrain`. */
    write(chunk: Buffer): boolean;
    /** Registers a callback that is called once when writing may continue. */
    onDrain(callback: () => void): void;
    end(): void;
    /** Ends a started response that cannot be completed, so that the receiver does not take it for a complete one. */
    abort(): void;
}

/** Creates a sink that writes to the caller's connection and discards data once the connection is closed. */
export function createCallerResponseSink(
    response: http.ServerResponse,
    endResponse: () => void = () => void response.end(),
): ResponseSink {
    // A response that waits behind another one on its connection is not told when the connection closes.
    const { socket } = response.req;
    const isClosed = (): boolean => response.destroyed || response.writableEnded || socket.destroyed;
    let onDrained: (() => void) | undefined;
    const notifyDrained = (): void => {
        const callback = onDrained;
        onDrained = undefined;
        callback?.();
    };
    response.on("drain", notifyDrained);
    response.on("close", notifyDrained);
    socket.on("close", notifyDrained);
    response.once("close", () => socket.removeListener("close", notifyDrained));
    return {
        start: (statusCode, headers, outcome) => {
            if (!isClosed()) {
                response.writeHead(statusCode, { ...headers, [headerNames.outcome]: outcome });
            }
        },
        write: chunk => isClosed() || response.write(chunk),
        onDrain: callback => {
            onDrained = callback;
        },
        end: () => {
            if (!isClosed()) {
                endResponse();
            }
        },
        abort: () => void response.destroy(),
    };
}

/** Sends a complete problem response. */
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
