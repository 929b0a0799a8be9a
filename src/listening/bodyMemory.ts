/** Receives bodies in memory that follows their bytes, with a bound for all bodies together and on the time without progress. */
import type http from "node:http";
import type { Readable } from "node:stream";
import type { TimerService } from "../common/timerService.js";
import { coalesceBody } from "./coalescedBody.js";
import { createGrowingBuffer } from "./growingBuffer.js";
import { clientLimits, type LimitReport } from "./limitReport.js";

export const bodyResults = { received: "received", tooLong: "tooLong", overloaded: "overloaded", stalled: "stalled" } as const;

export type BodyResult =
    | { kind: typeof bodyResults.received; bytes: Buffer; release(): void }
    | { kind: Exclude<(typeof bodyResults)[keyof typeof bodyResults], typeof bodyResults.received> };

export interface BodyMemory {
    /**
     * Receives a body of at most `maxBytes`; rejects if the caller disconnects. A received body counts until it is released.
     * `maxSilentMs` is the longest time between two pieces.
     */
    receive(request: http.IncomingMessage, maxBytes: number, maxSilentMs: number): Promise<BodyResult>;
    /** Passes a body on as it arrives; `undefined` if there is no room. `onRefused` is called if it has to give way later. */
    startStream(request: http.IncomingMessage, onRefused: () => void): { body: Readable; release(): void } | undefined;
}

export interface BodyMemoryOptions {
    maxBytesInFlight: number;
    report: LimitReport;
    timers: TimerService;
}

interface OpenBody {
    reservedBytes: number;
    refuse(): void;
}

/** What the buffers of a body that is passed on take at most, also if it comes in chunks of one byte. */
const streamBytes = 65_536;
/** A chunk of less than six bytes takes more bytes for its frame; each costs as much time as a chunk of many kilobytes. */
const maxWireRatio = 2;
const minFragmentedBytes = 65_536;
/** Bodies in such small fragments that are received at the same time. */
const maxFragmentedBodies = 8;
/** Covers what is on its way. A late process runs its timers before it reads what has arrived, so that the check runs after reading. */
const silenceMarginMs = 5_000;

export function createBodyMemory({ maxBytesInFlight, report, timers }: BodyMemoryOptions): BodyMemory {
    const receiving = new Set<OpenBody>();
    const fragmented = new Set<OpenBody>();
    let usedBytes = 0;

    const reserve = (body: OpenBody, bytes: number): void => {
        usedBytes += bytes - body.reservedBytes;
        body.reservedBytes = bytes;
    };
    /** The body that takes the most gives way, so that many small ones are received beside few large ones. */
    const makeRoom = (body: OpenBody, wantedBytes: number): boolean => {
        while (usedBytes + wantedBytes - body.reservedBytes > maxBytesInFlight) {
            let largest: OpenBody | undefined;
            receiving.forEach(other => {
                if (other !== body && other.reservedBytes > (largest?.reservedBytes ?? 0)) {
                    largest = other;
                }
            });
            if (!largest || largest.reservedBytes < wantedBytes) {
                return false;
            }
            largest.refuse();
        }
        return true;
    };

    /** Returns a check, by the bytes of the body so far, whether it comes in small fragments while enough others do. */
    const watchFragments = (body: OpenBody, request: http.IncomingMessage): (receivedBytes: number) => boolean => {
        const { socket } = request;
        const bytesReadBefore = socket?.bytesRead ?? 0;
        return receivedBytes => {
            const wireBytes = (socket?.bytesRead ?? 0) - bytesReadBefore;
            if (fragmented.has(body) || wireBytes < minFragmentedBytes || wireBytes < maxWireRatio * receivedBytes) {
                return false;
            }
            if (fragmented.size >= maxFragmentedBodies) {
                return true;
            }
            fragmented.add(body);
            return false;
        };
    };

    return {
        startStream: (request, onRefused) => {
            const stream: OpenBody = { reservedBytes: 0, refuse: () => undefined };
            if (!makeRoom(stream, streamBytes)) {
                report(clientLimits.bodyBytes);
                return undefined;
            }
            reserve(stream, streamBytes);
            const isTooFragmented = watchFragments(stream, request);
            const body = coalesceBody(request, receivedBytes => {
                if (isTooFragmented(receivedBytes)) {
                    report(clientLimits.fragmentedBodies);
                    onRefused();
                }
            });
            return {
                body,
                release: () => {
                    reserve(stream, 0);
                    fragmented.delete(stream);
                },
            };
        },
        receive: (request, maxBytes, maxSilentMs) =>
            new Promise((resolve, reject) => {
                const knownBytes = Number(request.headers["content-length"] ?? Number.NaN);
                let memory = createGrowingBuffer(Number.isNaN(knownBytes) ? maxBytes : Math.min(knownBytes, maxBytes));
                let receivedAtMs = timers.nowMs();
                let isSettled = false;
                let cancelTimer: () => void = () => undefined;

                const settle = (result: BodyResult | Error): void => {
                    if (isSettled) {
                        return;
                    }
                    isSettled = true;
                    cancelTimer();
                    receiving.delete(body);
                    fragmented.delete(body);
                    if (result instanceof Error || result.kind !== bodyResults.received) {
                        reserve(body, 0);
                        memory = createGrowingBuffer(0);
                    }
                    if (result instanceof Error) {
                        reject(result);
                    }
                    else {
                        resolve(result);
                    }
                };
                const body: OpenBody = {
                    reservedBytes: 0,
                    refuse: () => {
                        report(clientLimits.bodyBytes);
                        settle({ kind: bodyResults.overloaded });
                    },
                };
                const take = (chunk: Buffer): void => {
                    if (isSettled) {
                        return;
                    }
                    receivedAtMs = timers.nowMs();
                    if (memory.length() + chunk.length > maxBytes) {
                        settle({ kind: bodyResults.tooLong });
                        return;
                    }
                    const capacity = memory.capacityFor(chunk.length);
                    if (!makeRoom(body, capacity)) {
                        body.refuse();
                        return;
                    }
                    reserve(body, capacity);
                    memory.append(chunk);
                    if (isTooFragmented(memory.length())) {
                        report(clientLimits.fragmentedBodies);
                        settle({ kind: bodyResults.overloaded });
                    }
                };
                const checkProgress = (): void => {
                    if (isSettled) {
                        return;
                    }
                    const remainingMs = receivedAtMs + maxSilentMs + silenceMarginMs - timers.nowMs();
                    if (remainingMs > 0) {
                        cancelTimer = timers.after(remainingMs, () => void setImmediate(checkProgress));
                        return;
                    }
                    report(clientLimits.bodyProgress);
                    settle({ kind: bodyResults.stalled });
                };

                const isTooFragmented = watchFragments(body, request);
                receiving.add(body);
                checkProgress();
                request.on("data", take);
                request.once("end", () =>
                    settle({
                        kind: bodyResults.received,
                        bytes: memory.bytes(),
                        release: () => reserve(body, 0),
                    }));
                request.on("error", settle);
                request.once("close", () => settle(new Error("the caller disconnected before the whole body was received")));
            }),
    };
}
