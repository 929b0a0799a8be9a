/**
 * A stand-in of a backend server: slots, a bounded number of connections, run times, faults and a journal.
 *
 * Service requests run for `x-run-time-ms` and answer `x-answer-bytes` bytes made from `x-token`. Control calls:
 * `GET /healthz`, `POST /faults`, `GET /journal`.
 */
import http from "node:http";
import { listen, type ListenAddress, readJson, sendJson } from "./serving.js";

export const serverFaultModes = {
    none: "none",
    /** Takes requests, runs them and never answers. */
    silent: "silent",
    /** Answers much later than asked. */
    late: "late",
    /** Answers with another request's id and content. */
    crossed: "crossed",
    /** Closes before the announced length. */
    short: "short",
    /** Sends chunks and closes without the last one. */
    unterminated: "unterminated",
    /** Fails every request fast. */
    failsEverything: "failsEverything",
    /** Refuses every request before it runs, and says so. */
    refuses: "refuses",
} as const;
export type ServerFaultMode = (typeof serverFaultModes)[keyof typeof serverFaultModes];

/** One run of a request, as the server saw it. */
export interface JournalEntry {
    serverId: string;
    token: string;
    requestId: string;
    idempotencyKey: string;
    team: string;
    service: string;
    method: string;
    /** Monotonic times of the machine; `endMs` is absent while it runs. */
    startMs: number;
    endMs?: number;
    /** Whether the server was leaving when the run began. */
    wasLeaving: boolean;
}

export interface BackendServerOptions {
    serverId: string;
    slotsCount: number;
    connectionsCount: number;
    /** Added to each answer in the fault mode `late`. */
    lateByMs: number;
}

interface ServerState {
    mode: ServerFaultMode;
    isLeaving: boolean;
}

/** The content that belongs to a token: the token, repeated to `length` bytes. */
export function makeResponseBody(token: string, length: number): Buffer {
    return Buffer.alloc(length, `${token}\n`);
}

/** Monotonic time of the machine, which all its processes share, in milliseconds with a fraction. */
export function monotonicNowMs(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}

const headerOf = (request: http.IncomingMessage, name: string): string => String(request.headers[name] ?? "");

/** Starts a backend server and resolves with its port. */
export function startBackendServer(options: BackendServerOptions, address: ListenAddress, signal: AbortSignal): Promise<number> {
    const state: ServerState = { mode: serverFaultModes.none, isLeaving: false };
    const journal: JournalEntry[] = [];
    const waiting: (() => void)[] = [];
    let busyCount = 0;

    const takeSlot = async (): Promise<void> => {
        if (busyCount >= options.slotsCount) {
            await new Promise<void>(resolve => waiting.push(resolve));
            return;
        }
        busyCount++;
    };
    const freeSlot = (): void => {
        const next = waiting.shift();
        if (next) {
            next();
            return;
        }
        busyCount--;
    };

    const startEntry = (request: http.IncomingMessage): JournalEntry => {
        const entry: JournalEntry = {
            serverId: options.serverId,
            token: headerOf(request, "x-token"),
            requestId: headerOf(request, "x-request-id"),
            idempotencyKey: headerOf(request, "idempotency-key"),
            team: headerOf(request, "nutmegjunction-team"),
            service: (request.url ?? "").split("/")[1] ?? "",
            method: request.method ?? "",
            startMs: monotonicNowMs(),
            wasLeaving: state.isLeaving,
        };
        journal.push(entry);
        return entry;
    };

    const answer = (request: http.IncomingMessage, response: http.ServerResponse): void => {
        const length = Number(headerOf(request, "x-answer-bytes") || "64");
        const isCrossed = state.mode === serverFaultModes.crossed;
        const content = makeResponseBody(isCrossed ? "another-token" : headerOf(request, "x-token"), length);
        const headers = { "x-request-id": isCrossed ? "another-request" : headerOf(request, "x-request-id") };
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

    const run = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        await readBody(request);
        if (state.mode === serverFaultModes.refuses) {
            response.setHeader("nutmegjunction-outcome", "not-run");
            response.setHeader("x-request-id", headerOf(request, "x-request-id"));
            sendJson(response, 503, { error: "refused before it ran" });
            return;
        }
        await takeSlot();
        const entry = startEntry(request);
        if (state.mode === serverFaultModes.failsEverything) {
            entry.endMs = monotonicNowMs();
            freeSlot();
            sendJson(response, 500, { error: "failed" });
            return;
        }
        const isLate = state.mode === serverFaultModes.late;
        await new Promise(resolve => setTimeout(resolve, Number(headerOf(request, "x-run-time-ms") || "1")));
        entry.endMs = monotonicNowMs();
        freeSlot();
        if (isLate) {
            await new Promise(resolve => setTimeout(resolve, options.lateByMs));
        }
        if (state.mode !== serverFaultModes.silent) {
            answer(request, response);
        }
    };

    const serve = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
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
                await run(request, response);
        }
    };

    const server = http.createServer((request, response) => void serve(request, response).catch(() => request.socket.destroy()));
    server.maxConnections = options.connectionsCount;
    return listen(server, address, signal);
}

async function readBody(request: http.IncomingMessage): Promise<void> {
    for await (const chunk of request) {
        void chunk;
    }
}
