/**
 * A stand-in of the platform's key-value service: the published etcd v3 JSON interface over HTTP, and `/faults` to make
 * it fail. Faults: `down` (connections are cut), `delayMs` (slow), `lostAnswers` (the next writes take effect, their
 * answers are lost), `isWatchSilent` (watches stay open and deliver nothing).
 */
import http from "node:http";
import { createKeyValueStore, type KeyValue, type Operation } from "./keyValueStore.js";
import { listen, type ListenAddress, readJson, sendJson } from "./serving.js";

export interface StoreFaults {
    isDown: boolean;
    delayMs: number;
    lostAnswers: number;
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

const decode = (text: string): string => Buffer.from(text, "base64").toString("utf8");
const encode = (text: string): string => Buffer.from(text, "utf8").toString("base64");

function decodeOperation(wire: WireOperation): Operation {
    if (wire.request_put) {
        const { key, value, lease } = wire.request_put;
        return { type: "put", key: decode(key), value: decode(value ?? ""), leaseId: lease };
    }
    if (wire.request_delete_range) {
        return { type: "delete", key: decode(wire.request_delete_range.key) };
    }
    const rangeEnd = wire.request_range?.range_end;
    return { type: "range", key: decode(wire.request_range?.key ?? ""), rangeEnd: rangeEnd === undefined ? undefined : decode(rangeEnd) };
}

function toWire(entry: KeyValue): object {
    return { key: encode(entry.key), value: encode(entry.value), mod_revision: String(entry.revision) };
}

/** Starts the service and resolves with its port. */
export async function startKeyValueService(address: ListenAddress, signal: AbortSignal): Promise<number> {
    const store = createKeyValueStore(() => performance.now());
    const faults: StoreFaults = { isDown: false, delayMs: 0, lostAnswers: 0, isWatchSilent: false };
    const calls: Record<string, number> = {};
    let backup: KeyValue[] = [];
    const header = (): object => ({ revision: String(store.revision()) });

    const runTransaction = (body: { compare?: WireCompare[]; success?: WireOperation[]; failure?: WireOperation[] }): object => {
        const succeeded = (body.compare ?? []).every(compare =>
            (store.range(decode(compare.key))[0]?.revision ?? 0) === Number(compare.mod_revision ?? 0)
        );
        const operations = ((succeeded ? body.success : body.failure) ?? []).map(decodeOperation);
        const responses = store.execute(operations).map(read => read ? { response_range: { kvs: read.map(toWire) } } : {});
        return { header: header(), succeeded, responses };
    };

    const handlers: Record<string, (body: never) => object> = {
        "/v3/kv/range": (body: { key: string; range_end?: string }) => ({
            header: header(),
            kvs: store.range(decode(body.key), body.range_end === undefined ? undefined : decode(body.range_end)).map(toWire),
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
            backup = store.backUp();
            return {};
        },
        "/restore": () => {
            store.restore(backup);
            return {};
        },
    };

    const serveWatch = (body: { create_request: { key: string; range_end?: string } }, response: http.ServerResponse): void => {
        const { key, range_end: rangeEnd } = body.create_request;
        response.writeHead(200, { "content-type": "application/json" });
        response.write(`${JSON.stringify({ result: { header: header(), created: true } })}\n`);
        const stop = store.watch(decode(key), rangeEnd === undefined ? undefined : decode(rangeEnd), events => {
            if (faults.isWatchSilent || faults.isDown) {
                return;
            }
            const wire = events.map(event => ({
                type: event.type,
                kv: { key: encode(event.key), value: encode(event.value), mod_revision: String(event.revision) },
            }));
            response.write(`${JSON.stringify({ result: { header: header(), events: wire } })}\n`);
        });
        response.on("close", stop);
    };

    const serve = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const path = request.url ?? "/";
        const isPlatformCall = path.startsWith("/v3/");
        const body = await readJson(request) as never;
        calls[path] = (calls[path] ?? 0) + (isPlatformCall ? 1 : 0);
        if (isPlatformCall && faults.isDown) {
            request.socket.destroy();
            return;
        }
        if (isPlatformCall && faults.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, faults.delayMs));
        }
        if (path === "/v3/watch") {
            serveWatch(body, response);
            return;
        }
        const handler = handlers[path];
        if (!handler) {
            sendJson(response, 404, { error: `no such call: ${path}` });
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

    const leaseTimer = setInterval(() => store.endDueLeases(), leaseCheckIntervalMs);
    signal.addEventListener("abort", () => clearInterval(leaseTimer), { once: true });
    return listen(http.createServer((request, response) => void serve(request, response)), address, signal);
}
