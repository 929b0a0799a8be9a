/** In-memory stand-in for the platform's key-value service with the same HTTP API, and faults that a test can switch on. */
import http from "node:http";
import type { AddressInfo } from "node:net";
import { createJsonHttpClient } from "../../platform/jsonHttpClient.js";
import type { CallService } from "../../src/connection/serviceCalls.js";

interface Item {
    key: string;
    value: string;
    revision: number;
    leaseId: number;
}

type Event = Item | { key: string; revision: number; tombstone: true };

export interface StoreStandInFaults {
    /** Responds to every call with this status and does nothing else. */
    errorStatus?: number;
    /** Number of transactions that are committed without a response. */
    droppedResponsesCount: number;
    /** Never responds. */
    isSilent: boolean;
    itemsPerPage: number;
    /** Transactions whose changes one response of a watch may contain; it then ends at the last of them. */
    revisionsPerWatch: number;
    /** Watches of this prefix are rejected. */
    failedWatchPrefix?: string;
    /** Rate at which all responses together are sent. */
    bytesPerS: number;
    /** Time by which each response is held back. */
    responseDelayMs: number;
}

export interface StoreStandIn {
    address: string;
    faults: StoreStandInFaults;
    /** Discards the history, as a compaction does. */
    compact(): void;
    endLease(leaseId: number): void;
    /** Writes an item as it is, whatever the type of its value. */
    putItem(item: { key: string; value: unknown }): void;
    removeItem(key: string): void;
    /** Breaks all connections, without answers to the calls on them. */
    dropConnections(): void;
    callCount(path: string): number;
    close(): void;
}

/** Size of the pieces in which a response is sent at a limited rate. */
const pieceBytes = 4_000;

/** With `expiresLeases`, a lease ends by itself unless it is renewed. */
export async function startStoreStandIn({ expiresLeases = false } = {}): Promise<StoreStandIn> {
    const items = new Map<string, Item>();
    const faults: StoreStandInFaults = {
        droppedResponsesCount: 0,
        isSilent: false,
        itemsPerPage: 500,
        revisionsPerWatch: Number.POSITIVE_INFINITY,
        bytesPerS: Number.POSITIVE_INFINITY,
        responseDelayMs: 0,
    };
    let linkFreeAtMs = 0;
    const calls = new Map<string, number>();
    const leases = new Map<number, { ttlMs: number; timer: NodeJS.Timeout | undefined }>();
    const waitingWatches = new Set<() => void>();
    let history: Event[] = [];
    let compactedRevision = 0;
    let revision = 1;
    let nextLeaseId = 100;

    const wakeWatches = (): void => waitingWatches.forEach(wake => wake());
    const waitForChange = (timeoutMs: number): Promise<void> =>
        new Promise(resolve => {
            const wake = (): void => {
                clearTimeout(timer);
                waitingWatches.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, timeoutMs);
            waitingWatches.add(wake);
        });
    const remove = (key: string): void => {
        if (items.delete(key)) {
            history.push({ key, revision, tombstone: true });
        }
    };
    const transact = (body: Record<string, unknown[]>): [number, object] => {
        const guards = body["expectedRev"] as { key: string; revision: number }[];
        if (guards.some(guard => (items.get(guard.key)?.revision ?? 0) !== guard.revision)) {
            return [412, { items: guards.flatMap(guard => items.get(guard.key) ?? []) }];
        }
        const writes = body["writes"] as { key: string; value: string; leaseId?: number }[];
        if (writes.some(write => write.leaseId !== undefined && !leases.has(write.leaseId))) {
            return [404, {}];
        }
        revision += 1;
        for (const { key, value, leaseId } of writes) {
            const item = { key, value, revision, leaseId: leaseId ?? 0 };
            items.set(key, item);
            history.push(item);
        }
        (body["deletes"] as string[]).forEach(remove);
        wakeWatches();
        return [200, { revision }];
    };
    const range = (query: URLSearchParams): [number, object] => {
        const all = [...items.values()].filter(item => item.key.startsWith(query.get("prefix")!) && item.key > (query.get("after") ?? ""))
            .sort((a, b) => a.key < b.key ? -1 : 1);
        return [200, { items: all.slice(0, faults.itemsPerPage), hasMore: all.length > faults.itemsPerPage, atRev: revision }];
    };
    const truncateEvents = (events: readonly Event[]): object => {
        const revisions = [...new Set(events.map(event => event.revision))];
        if (revisions.length <= faults.revisionsPerWatch) {
            return { events, atRev: revision };
        }
        const lastRevision = revisions[faults.revisionsPerWatch - 1]!;
        return { events: events.filter(event => event.revision <= lastRevision), atRev: lastRevision };
    };
    const watch = async (query: URLSearchParams): Promise<[number, object]> => {
        if (query.get("prefix") === faults.failedWatchPrefix) {
            return [503, {}];
        }
        const after = Number(query.get("after"));
        const endsAtMs = Date.now() + Number(query.get("waitMs"));
        for (;;) {
            if (after < compactedRevision) {
                return [410, {}];
            }
            // The newest changes are at the end, and few watches lag far behind.
            const firstIndex = history.findLastIndex(event => event.revision <= after) + 1;
            const events = history.slice(firstIndex).filter(event => event.key.startsWith(query.get("prefix")!));
            const remainingMs = endsAtMs - Date.now();
            if (events.length > 0 || remainingMs <= 0) {
                return [200, truncateEvents(events)];
            }
            await waitForChange(remainingMs);
        }
    };
    const endLease = (leaseId: number): boolean => {
        clearTimeout(leases.get(leaseId)?.timer);
        const isKnown = leases.delete(leaseId);
        revision += 1;
        [...items.values()].filter(item => item.leaseId === leaseId).forEach(item => remove(item.key));
        wakeWatches();
        return isKnown;
    };
    const renew = (leaseId: number): boolean => {
        const lease = leases.get(leaseId);
        if (lease && expiresLeases) {
            clearTimeout(lease.timer);
            lease.timer = setTimeout(() => endLease(leaseId), lease.ttlMs);
        }
        return lease !== undefined;
    };
    const grant = (body: { ttlMs: number }): [number, object] => {
        leases.set(nextLeaseId, { ttlMs: body.ttlMs, timer: undefined });
        renew(nextLeaseId);
        return [200, { leaseId: nextLeaseId++, ttlMs: body.ttlMs }];
    };

    const handle = async (method: string, url: URL, text: string): Promise<[number, object]> => {
        const body = text === "" ? {} : JSON.parse(text) as Record<string, unknown[]>;
        const leaseId = Number(url.pathname.split("/").at(-1));
        switch (`${method} ${url.pathname.replace(/\/\d+$/, "")}`) {
            case "POST /api/kv-txn":
                return transact(body);
            case "GET /api/kv-key": {
                const item = items.get(url.searchParams.get("key")!);
                return item ? [200, { ...item, atRev: revision }] : [404, {}];
            }
            case "GET /api/kv-range":
                return range(url.searchParams);
            case "GET /api/kv-watch":
                return watch(url.searchParams);
            case "POST /api/kv-lease":
                return grant(body as unknown as { ttlMs: number });
            case "POST /api/kv-keep":
                return renew(leaseId) ? [200, {}] : [404, {}];
            case "DELETE /api/kv-lease-end":
                return endLease(leaseId) ? [200, {}] : [404, {}];
            default:
                return [404, {}];
        }
    };

    const send = async (response: http.ServerResponse, status: number, text: string): Promise<void> => {
        response.writeHead(status, { "content-type": "application/json" });
        let sentBytes = 0;
        // The rate may be lifted while a response is sent.
        while (sentBytes < text.length && Number.isFinite(faults.bytesPerS) && !response.destroyed) {
            linkFreeAtMs = Math.max(linkFreeAtMs, performance.now()) + 1_000 * pieceBytes / faults.bytesPerS;
            await new Promise(resolve => setTimeout(resolve, linkFreeAtMs - performance.now()));
            response.write(text.slice(sentBytes, sentBytes + pieceBytes));
            sentBytes += pieceBytes;
        }
        response.end(text.slice(sentBytes));
    };

    const server = http.createServer((request, response) => {
        let text = "";
        request.on("data", (chunk: Buffer) => text += chunk.toString());
        request.on("end", () => {
            const url = new URL(request.url!, "http://store");
            calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
            if (faults.isSilent) {
                return;
            }
            if (faults.errorStatus !== undefined) {
                response.writeHead(faults.errorStatus).end("{}");
                return;
            }
            void handle(request.method!, url, text).then(async ([status, body]) => {
                await (faults.responseDelayMs > 0 ? new Promise(resolve => setTimeout(resolve, faults.responseDelayMs)) : undefined);
                if (url.pathname === "/api/kv-txn" && faults.droppedResponsesCount > 0) {
                    faults.droppedResponsesCount -= 1;
                    response.destroy();
                    return;
                }
                return send(response, status, JSON.stringify(body));
            });
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        faults,
        compact: () => {
            compactedRevision = revision;
            history = [];
            wakeWatches();
        },
        endLease,
        putItem: ({ key, value }) => void transact({ expectedRev: [], writes: [{ key, value }], deletes: [] }),
        removeItem: key => void transact({ expectedRev: [], writes: [], deletes: [key] }),
        dropConnections: () => server.closeAllConnections(),
        callCount: path => calls.get(path) ?? 0,
        close: () => {
            leases.forEach(({ timer }) => clearTimeout(timer));
            server.closeAllConnections();
            server.close();
        },
    };
}

const maxConnections = 12;

/** Calls of the stand-in by a process that it serves, until `signal` aborts. */
export function openStoreCalls(address: string, signal: AbortSignal): CallService {
    const client = createJsonHttpClient(address, maxConnections);
    signal.addEventListener("abort", () => client.close(), { once: true });
    return client.call;
}
