/**
 * Simulated backend server with a fixed number of slots, a connection limit, injectable faults and a request journal.
 *
 * A service request runs for `x-run-time-ms` and returns `x-answer-bytes` bytes generated from `x-token`. Control
 * endpoints: `GET /healthz`, `POST /faults`, `GET /journal`.
 */
import http from "node:http";
import { listen, type ListenAddress, readJson, sendJson } from "./httpHelpers.js";

export const serverFaultModes = {
    none: "none",
    /** Accepts and runs requests but never responds. */
    silent: "silent",
    /** Delays the response by `lateByMs` after the run has ended. */
    late: "late",
    /** Responds with the id and body of a different request. */
    crossed: "crossed",
    /** Closes the connection before `content-length` bytes have been sent. */
    short: "short",
    /** Sends a chunked body and closes the connection without the terminating chunk. */
    unterminated: "unterminated",
    /** Responds to every request with status 500 without running it for its run time. */
    failsEverything: "failsEverything",
    /** Rejects every request with status 503 and the outcome header `not-run`. */
    refuses: "refuses",
} as const;
export type ServerFaultMode = (typeof serverFaultModes)[keyof typeof serverFaultModes];

/** Journal record of one request that got a slot. */
export interface JournalEntry {
    serverId: string;
    token: string;
    requestId: string;
    idempotencyKey: string;
    team: string;
    service: string;
    method: string;
    /** Monotonic timestamps; `endMs` is absent while the request runs. */
    startMs: number;
    endMs?: number;
    /** Whether the server was marked as leaving when the request started. */
    wasLeaving: boolean;
}

export interface BackendServerOptions {
    serverId: string;
    slotsCount: number;
    connectionsCount: number;
    /** Response delay in the fault mode `late`. */
    lateByMs: number;
}

interface ServerState {
    mode: ServerFaultMode;
    isLeaving: boolean;
}

/** Returns the expected response body for a token: the token, one per line, repeated to `length` bytes. */
export function makeResponseBody(token: string, length: number): Buffer {
    return Buffer.alloc(length, `${token}\n`);
}

/** Returns the monotonic clock in fractional milliseconds. All processes on the machine share this clock. */
export function monotonicNowMs(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}

const getHeader = (request: http.IncomingMessage, name: string): string => String(request.headers[name] ?? "");

/** Starts a simulated backend server and resolves with its port. */
export function startBackendServer(options: BackendServerOptions, address: ListenAddress, signal: AbortSignal): Promise<number> {
    const state: ServerState = { mode: serverFaultModes.none, isLeaving: false };
    const journal: JournalEntry[] = [];
    const slotWaiters: (() => void)[] = [];
    let busyCount = 0;

    const acquireSlot = async (): Promise<void> => {
        if (busyCount >= options.slotsCount) {
            await new Promise<void>(resolve => slotWaiters.push(resolve));
            return;
        }
        busyCount++;
    };
    const releaseSlot = (): void => {
        const next = slotWaiters.shift();
        if (next) {
            next();
            return;
        }
        busyCount--;
    };

    const recordRequestStart = (request: http.IncomingMessage): JournalEntry => {
        const entry: JournalEntry = {
            serverId: options.serverId,
            token: getHeader(request, "x-token"),
            requestId: getHeader(request, "x-request-id"),
            idempotencyKey: getHeader(request, "idempotency-key"),
            team: getHeader(request, "nutmegjunction-team"),
            service: (request.url ?? "").split("/")[1] ?? "",
            method: request.method ?? "",
            startMs: monotonicNowMs(),
            wasLeaving: state.isLeaving,
        };
        journal.push(entry);
        return entry;
    };

    const sendResponse = (request: http.IncomingMessage, response: http.ServerResponse): void => {
        const length = Number(getHeader(request, "x-answer-bytes") || "64");
        const isCrossed = state.mode === serverFaultModes.crossed;
        const content = makeResponseBody(isCrossed ? "another-token" : getHeader(request, "x-token"), length);
        const headers = { "x-request-id": isCrossed ? "another-request" : getHeader(request, "x-request-id") };
        if (state.mode === serverFaultModes.short) {
            response.writeHead(200, { ...headers, "content-length": length + 10 });
            response.write(content, () => request.socket.destroy());
            return;
        }
        if (state.mode === serverFaultModes.unterminated) {
            response.writeHead(200, { ...headers, "transfer-encoding": "chunked" });
            response.write(content, () => request.socket.destroy());
            return;
        }
        response.writeHead(200, { ...headers, "content-length": length });
        response.end(content);
    };

    const handleServiceRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        await drainBody(request);
        if (state.mode === serverFaultModes.refuses) {
            response.setHeader("nutmegjunction-outcome", "not-run");
            response.setHeader("x-request-id", getHeader(request, "x-request-id"));
            sendJson(response, 503, { error: "request was rejected before it ran" });
            return;
        }
        await acquireSlot();
        const entry = recordRequestStart(request);
        if (state.mode === serverFaultModes.failsEverything) {
            entry.endMs = monotonicNowMs();
            releaseSlot();
            sendJson(response, 500, { error: "failed" });
            return;
        }
        const isLate = state.mode === serverFaultModes.late;
        await new Promise(resolve => setTimeout(resolve, Number(getHeader(request, "x-run-time-ms") || "1")));
        entry.endMs = monotonicNowMs();
        releaseSlot();
        if (isLate) {
            await new Promise(resolve => setTimeout(resolve, options.lateByMs));
        }
        if (state.mode !== serverFaultModes.silent) {
            sendResponse(request, response);
        }
    };

    const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        switch (request.url) {
            case "/healthz":
                sendJson(response, state.isLeaving ? 503 : 200, { isLeaving: state.isLeaving });
                return;
            case "/faults":
                sendJson(response, 200, Object.assign(state, await readJson(request)));
                return;
            case "/journal":
                sendJson(response, 200, journal);
                return;
            default:
                await handleServiceRequest(request, response);
        }
    };

    const server = http.createServer((request, response) => void handleRequest(request, response).catch(() => request.socket.destroy()));
    server.maxConnections = options.connectionsCount;
    return listen(server, address, signal);
}

async function drainBody(request: http.IncomingMessage): Promise<void> {
    for await (const chunk of request) {
        void chunk;
    }
}
