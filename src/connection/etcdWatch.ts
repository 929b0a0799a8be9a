/** A watch of a key prefix that survives ended streams and silent connections. */
import { type Dispatcher, request } from "undici";
import type { Result } from "../common/results.js";
import { delay, type TimerService } from "../common/timerService.js";
import { encodePrefixEnd, encodeText, toStoredValue, watchResponse } from "./etcdMessages.js";
import type { StoredValue, StoreError } from "./platformStore.js";

/** All values below a prefix at one revision of the store. */
export interface PrefixSnapshot {
    values: StoredValue[];
    revision: number;
}

export interface EtcdWatchOptions {
    prefix: string;
    address: string;
    dispatcher: Dispatcher;
    timers: TimerService;
    signal: AbortSignal;
    readSnapshot(): Promise<Result<PrefixSnapshot, StoreError>>;
    onChange(values: StoredValue[]): void;
    countCall(): void;
    onRestart(reason: string): void;
}

/** A watch that delivered nothing is checked against a read this often. */
const checkIntervalMs = 2_000;
/** How much later than a read the stream may deliver the same change. */
const deliveryGraceMs = 500;
const firstRetryDelayMs = 100;
const longestRetryDelayMs = 2_000;

/** Starts the watch; it runs until the signal aborts. */
export function watchEtcdPrefix(options: EtcdWatchOptions): void {
    const values = new Map<string, StoredValue>();
    let hasDelivered = false;
    /** Revision of the last read: the stream's events up to it are known already. */
    let readRevision = 0;
    let streamRevision = 0;

    const deliver = (): void => {
        hasDelivered = true;
        options.onChange([...values.values()]);
    };

    /** Takes a full read in; returns whether anything had changed. */
    const takeSnapshot = (snapshot: PrefixSnapshot): boolean => {
        const isChanged = snapshot.values.length !== values.size ||
            snapshot.values.some(value => values.get(value.key)?.revision !== value.revision);
        readRevision = snapshot.revision;
        if (isChanged) {
            values.clear();
            snapshot.values.forEach(value => values.set(value.key, value));
        }
        return isChanged;
    };

    const applyLine = (line: string): void => {
        const { events } = watchResponse.parse(JSON.parse(line)).result;
        const newer = events.map(event => ({ type: event.type, value: toStoredValue(event.kv) }));
        newer.forEach(({ type, value }) => {
            streamRevision = Math.max(streamRevision, value.revision);
            if (value.revision <= readRevision) {
                return;
            }
            if (type === "DELETE") {
                values.delete(value.key);
            }
            else {
                values.set(value.key, value);
            }
        });
        if (newer.length > 0) {
            deliver();
        }
    };

    /** Reads the stream of one watch request until it ends; calls `onCreated` when the service has accepted it. */
    const followStream = async (signal: AbortSignal, onCreated: () => void): Promise<void> => {
        options.countCall();
        const body = { create_request: { key: encodeText(options.prefix), range_end: encodePrefixEnd(options.prefix) } };
        const response = await request(`http://${options.address}/v3/watch`, {
            method: "POST",
            dispatcher: options.dispatcher,
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
            headersTimeout: 0,
            bodyTimeout: 0,
            signal,
        });
        let rest = "";
        for await (const chunk of response.body) {
            const lines = (rest + String(chunk)).split("\n");
            rest = lines.pop() ?? "";
            lines.filter(line => line !== "").forEach(applyLine);
            onCreated();
        }
    };

    /** Reads from time to time; resolves when the stream misses what a read has shown. */
    const checkStream = async (signal: AbortSignal): Promise<string> => {
        while (!signal.aborted) {
            await delay(options.timers, checkIntervalMs, signal);
            const baseRevision = Math.max(readRevision, streamRevision);
            const read = await options.readSnapshot();
            if (signal.aborted || read.err) {
                continue;
            }
            const newestRevision = Math.max(0, ...read.val.values.map(value => value.revision));
            if (takeSnapshot(read.val)) {
                deliver();
            }
            await delay(options.timers, deliveryGraceMs, signal);
            if (newestRevision > baseRevision && streamRevision < newestRevision) {
                return "a read showed a change that the stream had not delivered";
            }
        }
        return "stopped";
    };

    const runOnce = async (): Promise<string> => {
        const attempt = new AbortController();
        const signal = AbortSignal.any([attempt.signal, options.signal]);
        let markCreated = (): void => undefined;
        const created = new Promise<void>(resolve => markCreated = resolve);
        const stream = followStream(signal, markCreated).then(() => "the stream ended", (error: Error) => error.message);
        // A service that does not confirm the watch must not keep the first read from being made.
        await Promise.race([created, stream, delay(options.timers, deliveryGraceMs, signal)]);
        const read = await options.readSnapshot();
        if (read.ok && (takeSnapshot(read.val) || !hasDelivered)) {
            deliver();
        }
        const reason = await Promise.race([stream, checkStream(signal)]);
        attempt.abort();
        return reason;
    };

    const run = async (): Promise<void> => {
        let retryDelayMs = firstRetryDelayMs;
        while (!options.signal.aborted) {
            const startedMs = options.timers.nowMs();
            const reason = await runOnce();
            if (options.signal.aborted) {
                return;
            }
            const wasLong = options.timers.nowMs() - startedMs > longestRetryDelayMs;
            retryDelayMs = wasLong ? firstRetryDelayMs : Math.min(retryDelayMs * 2, longestRetryDelayMs);
            options.onRestart(reason);
            await delay(options.timers, retryDelayMs, options.signal);
        }
    };
    void run();
}
