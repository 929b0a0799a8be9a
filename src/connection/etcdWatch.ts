/** A watch of a key prefix that recovers from ended streams and from connections that stop delivering events. */
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

/** Interval at which the watched values are compared with a read. */
const checkIntervalMs = 2_000;
/** Time by which the stream may lag behind a read. */
const deliveryGraceMs = 500;
const initialRetryDelayMs = 100;
const maximumRetryDelayMs = 2_000;

/** Starts the watch; it runs until the signal aborts. */
export function watchEtcdPrefix(options: EtcdWatchOptions): void {
    const values = new Map<string, StoredValue>();
    let hasDelivered = false;
    /** Revision of the last read; events up to it are already applied. */
    let readRevision = 0;
    let streamRevision = 0;

    const deliver = (): void => {
        hasDelivered = true;
        options.onChange([...values.values()]);
    };

    /** Applies a full read, unless the stream has delivered newer changes since it was sent; returns whether any value changed. */
    const applySnapshot = (snapshot: PrefixSnapshot): boolean => {
        if (snapshot.revision < streamRevision) {
            return false;
        }
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
        const changes = events.map(event => ({ type: event.type, value: toStoredValue(event.kv) }));
        changes.forEach(({ type, value }) => {
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
        if (changes.length > 0) {
            deliver();
        }
    };

    /**
     * Processes the stream of one watch request until it ends; calls `onCreated` when the service has accepted the
     * request.
     */
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
        let incompleteLine = "";
        for await (const chunk of response.body) {
            const lines = (incompleteLine + String(chunk)).split("\n");
            incompleteLine = lines.pop() ?? "";
            lines.filter(line => line !== "").forEach(applyLine);
            onCreated();
        }
    };

    /** Reads periodically; resolves when the stream has not delivered a change that a read returned. */
    const checkStream = async (signal: AbortSignal): Promise<string> => {
        while (!signal.aborted) {
            await delay(options.timers, checkIntervalMs, signal);
            const baseRevision = Math.max(readRevision, streamRevision);
            const read = await options.readSnapshot();
            if (signal.aborted || read.err) {
                continue;
            }
            const newestRevision = Math.max(0, ...read.val.values.map(value => value.revision));
            if (applySnapshot(read.val)) {
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
        // The service may have been restored to an earlier revision since the last stream.
        streamRevision = 0;
        let markCreated = (): void => undefined;
        const created = new Promise<void>(resolve => markCreated = resolve);
        const stream = followStream(signal, markCreated).then(() => "the stream ended", (error: Error) => error.message);
        // A service that does not confirm the watch must not prevent the first read.
        await Promise.race([created, stream, delay(options.timers, deliveryGraceMs, signal)]);
        const read = await options.readSnapshot();
        if (read.ok && (applySnapshot(read.val) || !hasDelivered)) {
            deliver();
        }
        const reason = await Promise.race([stream, checkStream(signal)]);
        attempt.abort();
        return reason;
    };

    const run = async (): Promise<void> => {
        let retryDelayMs = initialRetryDelayMs;
        while (!options.signal.aborted) {
            const startedMs = options.timers.nowMs();
            const reason = await runOnce();
            if (options.signal.aborted) {
                return;
            }
            const wasStable = options.timers.nowMs() - startedMs > maximumRetryDelayMs;
            retryDelayMs = wasStable ? initialRetryDelayMs : Math.min(retryDelayMs * 2, maximumRetryDelayMs);
            options.onRestart(reason);
            await delay(options.timers, retryDelayMs, options.signal);
        }
    };
    void run();
}
