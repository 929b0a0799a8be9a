/**
 * In-memory test double of the platform's key-value service. Implements the range, transaction, lease and watch calls of the
 * published etcd v3 JSON API over HTTP, plus control endpoints for fault injection (`/faults`), call counts (`/calls`),
 * `/backup` and `/restore`.
 */
import http from "node:http";
import { listen, type ListenAddress, readJson, sendJson } from "./httpHelpers.js";
import { createKeyValueStore, type KeyValue, type Operation } from "./keyValueStore.js";

export interface StoreFaults {
    /** Closes the connection of every etcd call and drops watch events. */
    isDown: boolean;
    /** Delay before each etcd call is executed. */
    delayMs: number;
    /** Number of transactions still to be executed whose response is dropped. */
    lostAnswers: number;
    /** Keeps watches open but delivers no events. */
    isWatchSilent: boolean;
}

interface WireOperation {
    request_put?: { key: string; value?: string; lease?: string };
    request_delete_range?: { key: string };
    request_range?: { key: string; range_end?: string };
}

interface WireCompare {
    key: string;
    mod_revision?: string;
}

const leaseCheckIntervalMs = 100;

const decodeBase64 = (text: string): string => Buffer.from(text, "base64").toString("utf8");
const encodeBase64 = (text: string): string => Buffer.from(text, "utf8").toString("base64");

function decodeOperation(wire: WireOperation): Operation {
    if (wire.request_put) {
        const { key, value, lease } = wire.request_put;
        return { type: "put", key: decodeBase64(key), value: decodeBase64(value ?? ""), leaseId: lease };
    }
    if (wire.request_delete_range) {
        return { type: "delete", key: decodeBase64(wire.request_delete_range.key) };
    }
    const rangeEnd = wire.request_range?.range_end;
    return {
        type: "range",
        key: decodeBase64(wire.request_range?.key ?? ""),
        rangeEnd: rangeEnd === undefined ? undefined : decodeBase64(rangeEnd),
    };
}

function encodeKeyValue(entry: KeyValue): object {
    return { key: encodeBase64(entry.key), value: encodeBase64(entry.value), mod_revision: String(entry.revision) };
}

/** Starts the service and resolves with its port. */
export async function startKeyValueService(address: ListenAddress, signal: AbortSignal): Promise<number> {
    const store = createKeyValueStore(() => performance.now());
    const faults: StoreFaults = { isDown: false, delayMs: 0, lostAnswers: 0, isWatchSilent: false };
    const calls: Record<string, number> = {};
    let snapshot: KeyValue[] = [];
    const header = (): object => ({ revision: String(store.revision()) });

    const runTransaction = (body: { compare?: WireCompare[]; success?: WireOperation[]; failure?: WireOperation[] }): object => {
        const succeeded = (body.compare ?? []).every(compare =>
            (store.range(decodeBase64(compare.key))[0]?.revision ?? 0) === Number(compare.mod_revision ?? 0)
        );
        const operations = ((succeeded ? body.success : body.failure) ?? []).map(decodeOperation);
        const responses = store.execute(operations).map(read => read ? { response_range: { kvs: read.map(encodeKeyValue) } } : {});
        return { header: header(), succeeded, responses };
    };

    const handlers: Record<string, (body: never) => object> = {
        "/v3/kv/range": (body: { key: string; range_end?: string }) => ({
            header: header(),
            kvs: store.range(decodeBase64(body.key), body.range_end === undefined ? undefined : decodeBase64(body.range_end)).map(
                encodeKeyValue,
            ),
        }),
        "/v3/kv/txn": runTransaction,
        "/v3/lease/grant": (body: { TTL: string }) => ({ header: header(), ID: store.grantLease(Number(body.TTL) * 1000), TTL: body.TTL }),
        "/v3/lease/keepalive": (body: { ID: string }) => ({ result: { ID: body.ID, TTL: String(store.renewLease(body.ID) / 1000) } }),
        "/v3/lease/revoke": (body: { ID: string }) => {
            store.endLease(body.ID);
            return { header: header() };
        },
        "/faults": (body: Partial<StoreFaults>) => Object.assign(faults, body),
        "/calls": () => calls,
        "/backup": () => {
            snapshot = store.createSnapshot();
            return {};
        },
        "/restore": () => {
            store.restore(snapshot);
            return {};
        },
    };

    const serveWatch = (body: { create_request: { key: string; range_end?: string } }, response: http.ServerResponse): void => {
        const { key, range_end: rangeEnd } = body.create_request;
        response.writeHead(200, { "content-type": "application/json" });
        response.write(`${JSON.stringify({ result: { header: header(), created: true } })}\n`);
        const stop = store.watch(decodeBase64(key), rangeEnd === undefined ? undefined : decodeBase64(rangeEnd), events => {
            if (faults.isWatchSilent || faults.isDown) {
                return;
            }
            const wire = events.map(event => ({
                type: event.type,
                kv: { key: encodeBase64(event.key), value: encodeBase64(event.value), mod_revision: String(event.revision) },
            }));
            response.write(`${JSON.stringify({ result: { header: header(), events: wire } })}\n`);
        });
        response.on("close", stop);
    };

    const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const path = request.url ?? "/";
        const isEtcdCall = path.startsWith("/v3/");
        const body = await readJson(request) as never;
        calls[path] = (calls[path] ?? 0) + (isEtcdCall ? 1 : 0);
        if (isEtcdCall && faults.isDown) {
            request.socket.destroy();
            return;
        }
        if (isEtcdCall && faults.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, faults.delayMs));
        }
        if (path === "/v3/watch") {
            serveWatch(body, response);
            return;
        }
        const handler = handlers[path];
        if (!handler) {
            sendJson(response, 404, { error: `unknown endpoint: ${path}` });
            return;
        }
        const answer = handler(body);
        if (faults.lostAnswers > 0 && path === "/v3/kv/txn") {
            faults.lostAnswers--;
            request.socket.destroy();
            return;
        }
        sendJson(response, 200, answer);
    };

    const leaseTimer = setInterval(() => store.expireLeases(), leaseCheckIntervalMs);
    signal.addEventListener("abort", () => clearInterval(leaseTimer), { once: true });
    return listen(http.createServer((request, response) => void handleRequest(request, response)), address, signal);
}
