/** Client of the platform's key-value service, through the public etcd v3 JSON gateway. */
import { Agent, request } from "undici";
import type { z } from "zod";
import { Err, Ok, type Result } from "../common/results.js";
import type { TimerService } from "../common/timerService.js";
import {
    emptyResponse,
    encodePrefixEnd,
    encodeText,
    leaseGrantResponse,
    leaseKeepAliveResponse,
    rangeResponse,
    toStoredValue,
    txnResponse,
} from "./etcdMessages.js";
import { type PrefixSnapshot, watchEtcdPrefix } from "./etcdWatch.js";
import type { PlatformStore, StoreError, StoreGuard, StoreWrite } from "./platformStore.js";

export interface EtcdStoreOptions {
    /** Address of the service, `ip:port`. */
    address: string;
    callTimeoutMs: number;
    timers: TimerService;
    /** Called when calls start to fail (`false`) and when they succeed again (`true`). */
    onAvailability(isAvailable: boolean, reason: string): void;
    /** Called when a watch was restarted. */
    onWatchRestart(prefix: string, reason: string): void;
    signal: AbortSignal;
}

const maximumConnections = 8;

function guardToCompare(guard: StoreGuard): object {
    return { key: encodeText(guard.key), target: "MOD", result: "EQUAL", mod_revision: String(guard.expectedRevision) };
}

function writeToRequest(write: StoreWrite): object {
    if (write.value === undefined) {
        return { request_delete_range: { key: encodeText(write.key) } };
    }
    return { request_put: { key: encodeText(write.key), value: encodeText(write.value), lease: write.leaseId } };
}

function describeError(error: unknown): string {
    return error instanceof Error ? `${error.name}: ${error.message}` : String(error);
}

/** Creates the client; it opens no connection before the first call. */
export function createEtcdStore(options: EtcdStoreOptions): PlatformStore {
    const agent = new Agent({ connections: maximumConnections, connect: { timeout: options.callTimeoutMs } });
    const counts: Record<string, number> = {};
    let isAvailable = true;
    options.signal.addEventListener("abort", () => void agent.destroy(), { once: true });

    const reportAvailability = (isNowAvailable: boolean, reason: string): void => {
        if (isNowAvailable !== isAvailable) {
            isAvailable = isNowAvailable;
            options.onAvailability(isNowAvailable, reason);
        }
    };
    const count = (call: string): void => {
        counts[call] = (counts[call] ?? 0) + 1;
    };

    async function call<T extends z.ZodType>(name: string, path: string, body: object, schema: T): Promise<Result<z.infer<T>, StoreError>> {
        count(name);
        try {
            const response = await request(`http://${options.address}${path}`, {
                method: "POST",
                dispatcher: agent,
                headers: { "content-type": "application/json" },
                body: JSON.stringify(body),
                signal: AbortSignal.any([options.signal, AbortSignal.timeout(options.callTimeoutMs)]),
            });
            const text = await response.body.text();
            if (response.statusCode !== 200) {
                throw new Error(`status ${response.statusCode}: ${text.slice(0, 200)}`);
            }
            const parsed = schema.parse(JSON.parse(text));
            reportAvailability(true, name);
            return Ok(parsed);
        }
        catch (error) {
            const reason = describeError(error);
            reportAvailability(false, `${name}: ${reason}`);
            return Err({ call: name, reason });
        }
    }

    const readRange = async (name: string, body: object): Promise<Result<PrefixSnapshot, StoreError>> =>
        (await call(name, "/v3/kv/range", body, rangeResponse)).map(response => ({
            values: response.kvs.map(toStoredValue),
            revision: response.header.revision,
        }));
    const readSnapshot = (prefix: string): Promise<Result<PrefixSnapshot, StoreError>> =>
        readRange("readPrefix", { key: encodeText(prefix), range_end: encodePrefixEnd(prefix) });

    return {
        read: async key => (await readRange("read", { key: encodeText(key) })).map(snapshot => snapshot.values[0]),
        readPrefix: async prefix => (await readSnapshot(prefix)).map(snapshot => snapshot.values),
        swap: async (guards, writes) => {
            const body = {
                compare: guards.map(guardToCompare),
                success: writes.map(writeToRequest),
                failure: guards.map(guard => ({ request_range: { key: encodeText(guard.key) } })),
            };
            return (await call("swap", "/v3/kv/txn", body, txnResponse)).map(response => ({
                isSwapped: response.succeeded,
                revision: response.header.revision,
                current: response.responses.flatMap(part => (part.response_range?.kvs ?? []).map(toStoredValue)),
            }));
        },
        watchPrefix: (prefix, signal, onChange) =>
            watchEtcdPrefix({
                prefix,
                onChange,
                address: options.address,
                dispatcher: agent,
                timers: options.timers,
                signal: AbortSignal.any([signal, options.signal]),
                readSnapshot: () => readSnapshot(prefix),
                countCall: () => count("watch"),
                onRestart: reason => options.onWatchRestart(prefix, reason),
            }),
        grantLease: async durationS =>
            (await call("grantLease", "/v3/lease/grant", { TTL: String(durationS) }, leaseGrantResponse)).map(lease => lease.ID),
        keepLeaseAlive: async leaseId =>
            (await call("keepLeaseAlive", "/v3/lease/keepalive", { ID: leaseId }, leaseKeepAliveResponse)).map(response =>
                response.result.TTL > 0
            ),
        revokeLease: async leaseId => (await call("revokeLease", "/v3/lease/revoke", { ID: leaseId }, emptyResponse)).map(() => undefined),
        callCounts: () => counts,
    };
}
