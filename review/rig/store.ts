/** Stand-in of the platform's store. Workers' heartbeats and the operator's keys are written past the checks of the processes' calls. */
import { type JsonServer, startJsonServer } from "./http.js";

interface Item {
    key: string;
    value: string;
    revision: number;
    createdRev: number;
    leaseId: number;
}

type Change = Item | { key: string; revision: number; tombstone: true };

interface Transaction {
    expectedRev?: { key: string; revision: number }[];
    writes?: { key: string; value: string; leaseId?: number }[];
    deletes?: string[];
}

export interface StoreStandIn extends JsonServer {
    /** Writes a document as the operator or a worker does. */
    put(key: string, document: object): void;
    remove(key: string): void;
    read(key: string): unknown;
}

const maxItemsPerPage = 500;
const reservedPrefixes = ["op/", "servers/"];

/** Starts the store; its revision counter continues from `firstRevision`. */
export async function startStore(firstRevision: number): Promise<StoreStandIn> {
    const items = new Map<string, Item>();
    const history: Change[] = [];
    const leases = new Map<number, { ttlMs: number; timer: NodeJS.Timeout }>();
    const waiting = new Set<() => void>();
    let revision = firstRevision;
    let nextLeaseId = 77_120;

    const wake = (): void => [...waiting].forEach(each => each());
    const write = (key: string, value: string, leaseId: number): void => {
        const item = { key, value, revision, createdRev: items.get(key)?.createdRev ?? revision, leaseId };
        items.set(key, item);
        history.push(item);
    };
    const removeItem = (key: string): void => {
        if (items.delete(key)) {
            history.push({ key, revision, tombstone: true });
        }
    };
    const transact = ({ expectedRev = [], writes = [], deletes = [] }: Transaction): [number, object] => {
        if ([...writes.map(({ key }) => key), ...deletes].some(key => reservedPrefixes.some(prefix => key.startsWith(prefix)))) {
            return [403, {}];
        }
        if (expectedRev.some(guard => (items.get(guard.key)?.revision ?? 0) !== guard.revision)) {
            return [412, { items: expectedRev.flatMap(guard => items.get(guard.key) ?? []) }];
        }
        if (writes.some(({ leaseId }) => leaseId !== undefined && leaseId !== 0 && !leases.has(leaseId))) {
            return [404, {}];
        }
        revision += 1;
        writes.forEach(({ key, value, leaseId }) => write(key, value, leaseId ?? 0));
        deletes.forEach(removeItem);
        wake();
        return [200, { revision }];
    };
    const range = (query: URLSearchParams): [number, object] => {
        const all = [...items.values()].filter(({ key }) => key.startsWith(query.get("prefix") ?? "") && key > (query.get("after") ?? ""))
            .sort((a, b) => a.key < b.key ? -1 : 1);
        return [200, { items: all.slice(0, maxItemsPerPage), hasMore: all.length > maxItemsPerPage, atRev: revision }];
    };
    const watch = async (query: URLSearchParams): Promise<[number, object]> => {
        const after = Number(query.get("after"));
        const endsAtMs = performance.now() + Number(query.get("waitMs"));
        for (;;) {
            const firstIndex = history.findLastIndex(change => change.revision <= after) + 1;
            const events = history.slice(firstIndex).filter(({ key }) => key.startsWith(query.get("prefix") ?? ""));
            const leftMs = endsAtMs - performance.now();
            if (events.length > 0 || leftMs <= 0) {
                return [200, { events, atRev: revision }];
            }
            await new Promise<void>(resolve => {
                const finish = (): void => {
                    clearTimeout(timer);
                    waiting.delete(finish);
                    resolve();
                };
                const timer = setTimeout(finish, leftMs);
                waiting.add(finish);
            });
        }
    };
    const endLease = (leaseId: number): boolean => {
        const lease = leases.get(leaseId);
        if (!lease) {
            return false;
        }
        clearTimeout(lease.timer);
        leases.delete(leaseId);
        revision += 1;
        [...items.values()].filter(item => item.leaseId === leaseId).forEach(({ key }) => removeItem(key));
        wake();
        return true;
    };
    const armLease = (leaseId: number, ttlMs: number): void => {
        clearTimeout(leases.get(leaseId)?.timer);
        leases.set(leaseId, { ttlMs, timer: setTimeout(() => endLease(leaseId), ttlMs) });
    };
    const renew = (leaseId: number): boolean => {
        const lease = leases.get(leaseId);
        if (lease) {
            armLease(leaseId, lease.ttlMs);
        }
        return lease !== undefined;
    };

    const handle = async (method: string, url: URL, text: string): Promise<[number, object]> => {
        const leaseId = Number(url.pathname.split("/").at(-1));
        switch (`${method} ${url.pathname.replace(/\/\d+$/, "")}`) {
            case "POST /api/kv-txn":
                return transact(JSON.parse(text) as Transaction);
            case "GET /api/kv-key": {
                const item = items.get(url.searchParams.get("key") ?? "");
                return item ? [200, { ...item, atRev: revision }] : [404, {}];
            }
            case "GET /api/kv-range":
                return range(url.searchParams);
            case "GET /api/kv-watch":
                return watch(url.searchParams);
            case "POST /api/kv-lease": {
                const { ttlMs } = JSON.parse(text) as { ttlMs: number };
                armLease(nextLeaseId, ttlMs);
                return [200, { leaseId: nextLeaseId++, ttlMs }];
            }
            case "POST /api/kv-keep":
                return [renew(leaseId) ? 200 : 404, {}];
            case "DELETE /api/kv-lease-end":
                return [endLease(leaseId) ? 200 : 404, {}];
            default:
                return [404, {}];
        }
    };
    const server = await startJsonServer((request, url, text) => handle(request.method ?? "", url, text));
    return {
        address: server.address,
        put: (key, document) => {
            revision += 1;
            write(key, Buffer.from(JSON.stringify(document), "utf8").toString("base64"), 0);
            wake();
        },
        remove: key => {
            revision += 1;
            removeItem(key);
            wake();
        },
        read: key => {
            const item = items.get(key);
            return item && JSON.parse(Buffer.from(item.value, "base64").toString("utf8")) as unknown;
        },
        close: () => {
            leases.forEach(({ timer }) => clearTimeout(timer));
            server.close();
        },
    };
}
