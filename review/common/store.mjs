/** Stand-in of the platform's metadata store: items, watches, transactions and leases, as PROTOCOL.md describes them. */
import { startJsonServer } from "./httpServer.mjs";

const historyMs = 20_000;
const maxItemsPerPage = 500;
const watchPollMs = 2;

const encode = value => Buffer.from(value, "utf8").toString("base64");

export async function startStore() {
    const items = new Map();
    const leases = new Map();
    let history = [];
    let compactedRevision = 0;
    let revision = 1;
    let nextLeaseId = 100;

    const append = event => {
        history.push({ ...event, atMs: performance.now() });
        const keptSinceMs = performance.now() - historyMs;
        const firstKept = history.findIndex(each => each.atMs >= keptSinceMs);
        if (firstKept > 0) {
            compactedRevision = history[firstKept - 1].revision;
            history = history.slice(firstKept);
        }
    };
    const set = (key, value, leaseId) => {
        const createdRev = items.get(key)?.createdRev ?? revision;
        const item = { key, value, revision, createdRev, leaseId };
        items.set(key, item);
        append(item);
    };
    const remove = key => {
        if (items.delete(key)) {
            append({ key, revision, tombstone: true });
        }
    };
    const endLease = leaseId => {
        const lease = leases.get(leaseId);
        if (!lease) {
            return false;
        }
        clearTimeout(lease.timer);
        leases.delete(leaseId);
        revision += 1;
        [...items.values()].filter(item => item.leaseId === leaseId).forEach(item => remove(item.key));
        return true;
    };
    const renew = leaseId => {
        const lease = leases.get(leaseId);
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => endLease(leaseId), lease.ttlMs);
    };
    const transact = ({ expectedRev = [], writes = [], deletes = [] }) => {
        if (expectedRev.some(guard => (items.get(guard.key)?.revision ?? 0) !== guard.revision)) {
            return [412, { items: expectedRev.flatMap(guard => items.get(guard.key) ?? []) }];
        }
        if (writes.some(write => write.leaseId && !leases.has(write.leaseId))) {
            return [404, {}];
        }
        revision += 1;
        writes.forEach(({ key, value, leaseId }) => set(key, value, leaseId ?? 0));
        deletes.forEach(remove);
        return [200, { revision }];
    };
    const readRange = query => {
        const prefix = query.get("prefix");
        const after = query.get("after") ?? "";
        const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > after)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return [200, { items: found.slice(0, maxItemsPerPage), hasMore: found.length > maxItemsPerPage, atRev: revision }];
    };
    const watch = async query => {
        const prefix = query.get("prefix");
        const after = Number(query.get("after"));
        const endsAtMs = performance.now() + Number(query.get("waitMs"));
        for (;;) {
            if (after < compactedRevision) {
                return [410, {}];
            }
            const events = history.filter(event => event.revision > after && event.key.startsWith(prefix));
            if (events.length > 0 || performance.now() >= endsAtMs) {
                return [200, { events, atRev: revision }];
            }
            await new Promise(resolve => setTimeout(resolve, watchPollMs));
        }
    };

    const handle = async ({ method, url, body }) => {
        const leaseId = Number(url.pathname.split("/").at(-1));
        switch (`${method} ${url.pathname.replace(/\/\d+$/, "")}`) {
            case "GET /api/kv-key": {
                const item = items.get(url.searchParams.get("key"));
                return item ? [200, { ...item, atRev: revision }] : [404, { atRev: revision }];
            }
            case "GET /api/kv-range":
                return readRange(url.searchParams);
            case "GET /api/kv-watch":
                return watch(url.searchParams);
            case "POST /api/kv-txn":
                if ([...body.writes ?? [], ...(body.deletes ?? []).map(key => ({ key }))].some(({ key }) => /^(op|servers)\//.test(key))) {
                    return [403, {}];
                }
                return transact(body);
            case "POST /api/kv-lease":
                nextLeaseId += 1;
                leases.set(nextLeaseId, { ttlMs: body.ttlMs });
                renew(nextLeaseId);
                return [200, { leaseId: nextLeaseId, ttlMs: body.ttlMs }];
            case "POST /api/kv-keep":
                if (!leases.has(leaseId)) {
                    return [404, {}];
                }
                renew(leaseId);
                return [200, { ttlMs: leases.get(leaseId).ttlMs }];
            case "DELETE /api/kv-lease-end":
                return endLease(leaseId) ? [200, {}] : [404, {}];
            default:
                return [404, {}];
        }
    };
    const server = await startJsonServer(handle);
    return {
        address: server.address,
        /** Writes as the operator or a worker does. */
        put: (key, value) => void transact({ writes: [{ key, value: encode(typeof value === "string" ? value : JSON.stringify(value)) }] }),
        delete: key => void transact({ deletes: [key] }),
        read: key => items.has(key) ? JSON.parse(Buffer.from(items.get(key).value, "base64").toString("utf8")) : undefined,
        stop: async () => {
            leases.forEach(({ timer }) => clearTimeout(timer));
            await server.stop();
        },
    };
}
