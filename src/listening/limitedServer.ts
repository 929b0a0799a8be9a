/** An HTTP server with limits on connections, on pending requests of a connection and on unread responses. */
import http from "node:http";
import type net from "node:net";
import type { TimerService } from "../common/timerService.js";
import { heapBytesOfRequest, type ListenerLimits, rankForClosing, surplusShare } from "../decisions/listenerLimits.js";
import type { HeapRoom } from "./heapRoom.js";
import { clientLimits, type LimitReport } from "./limitReport.js";
import { type DescribeRefusal, refuseRequest } from "./refuse.js";
import { sliceInput } from "./sliceInput.js";

export interface LimitedServerOptions {
    limits: ListenerLimits;
    report: LimitReport;
    timers: TimerService;
    /** Shared by the listeners of the process; without it, only the limits hold. */
    heap?: HeapRoom;
    serverOptions?: http.ServerOptions;
    /** A JSON object with `error` if not given. */
    describeRefusal?: DescribeRefusal;
    /** Takes over a connection whose client asks for another protocol. */
    onUpgrade?: (request: http.IncomingMessage, socket: net.Socket, head: Buffer) => void;
}

interface Connection {
    socket: net.Socket;
    readBytes: number;
    readAtMs: number;
    takenBytes: number;
    takenAtMs: number;
    pendingCount: number;
    /** Requests after the one that was refused; they get no answer. */
    ignoredCount: number;
    lastRequest: http.IncomingMessage | undefined;
    /** When the head of the last request was received, and the bytes before it; before the first one, those of the connection. */
    requestAtMs: number;
    bytesBeforeRequest: number;
    /** What its requests hold of the heap. */
    heldBytes: number;
    /** Whether the connection speaks another protocol now. */
    isUpgraded: boolean;
    endSlicing(): void;
    isSurplus: boolean;
}

const sweepIntervalMs = 500;
/** A client that takes nothing of a response for this long is gone or hostile; the configuration's idle timeout is 15 s. */
const maxUnreadMs = 20_000;
/** Requests after a refused one, which the client sent before it received the answer. */
const maxIgnoredRequests = 8;
/** Share of the connections that is closed at once to make room. */
const closedShare = 0.1;
const minRoomIntervalMs = 100;
/** Exceeds the configured header timeouts in use, so that a slow sender is not disconnected too early. */
const headersTimeoutMs = 10_000;
const connectionsCheckingIntervalMs = 1_000;
/** What Node reads of a connection at a time: the head of a request, and a part of its body, may be in it. */
const maxReadBytes = 65_536;
/** Node counts the bytes between the headers too; callers may send 16,384 bytes of them. */
const maxHeaderBytes = 20_480;

/** Creates the server; it does not listen yet. */
export function createLimitedServer(options: LimitedServerOptions, listener: http.RequestListener): http.Server {
    const { limits, report, timers } = options;
    const connections = new Map<net.Socket, Connection>();
    let roomMadeAtMs = -Infinity;

    const server = http.createServer(
        {
            headersTimeout: headersTimeoutMs,
            connectionsCheckingInterval: connectionsCheckingIntervalMs,
            maxHeaderSize: maxHeaderBytes,
            // Node answers such requests before anything counts them.
            requireHostHeader: false,
            ...options.serverOptions,
        },
        (request, response) => {
            if (!admit(request, response)) {
                return;
            }
            if (request.headers.host === undefined && request.httpVersion === "1.1") {
                refuseInvalid(request, response, 400, "the request has no Host header");
                return;
            }
            listener(request, response);
        },
    );
    server.on("checkExpectation", (request: http.IncomingMessage, response: http.ServerResponse) => {
        if (admit(request, response)) {
            refuseInvalid(request, response, 417, "no such expectation can be met");
        }
    });
    server.maxConnections = Math.ceil(limits.maxConnections * (1 + surplusShare));

    /** Refuses a request, and does not handle those that were sent after it. */
    const refuseInvalid = (request: http.IncomingMessage, response: http.ServerResponse, status: number, reason: string): void => {
        const connection = connections.get(request.socket);
        if (connection) {
            connection.ignoredCount = 1;
        }
        refuseRequest(request, response, status, reason, options.describeRefusal);
    };

    const observe = (connection: Connection, nowMs: number): void => {
        const { socket } = connection;
        if (socket.bytesRead !== connection.readBytes) {
            connection.readBytes = socket.bytesRead;
            connection.readAtMs = nowMs;
        }
        const takenBytes = socket.bytesWritten - socket.writableLength;
        if (takenBytes !== connection.takenBytes || socket.writableLength === 0) {
            connection.takenBytes = takenBytes;
            connection.takenAtMs = nowMs;
        }
    };
    const rank = (connection: Connection, nowMs: number): number => {
        observe(connection, nowMs);
        return rankForClosing({
            silentMs: nowMs - connection.readAtMs,
            unreadMs: nowMs - connection.takenAtMs,
            hasOpenRequest: connection.pendingCount > 0,
            isRequestIncomplete: !connection.isUpgraded && (connection.lastRequest === undefined || !connection.lastRequest.complete),
            requestMs: nowMs - connection.requestAtMs,
            requestBytes: connection.readBytes - connection.bytesBeforeRequest,
            isUpgraded: connection.isUpgraded,
        });
    };
    const makeRoom = (): void => {
        const nowMs = timers.nowMs();
        if (nowMs - roomMadeAtMs < minRoomIntervalMs) {
            return;
        }
        roomMadeAtMs = nowMs;
        const ranked = [...connections.values()].map(connection => ({ connection, rank: rank(connection, nowMs) }))
            .filter(each => each.rank > 0)
            .sort((a, b) => b.rank - a.rank || a.connection.readAtMs - b.connection.readAtMs);
        ranked.slice(0, Math.ceil(limits.maxConnections * closedShare)).forEach(({ connection }) => {
            report(clientLimits.connections);
            connection.socket.destroy();
        });
    };
    const sweep = (): void => {
        const nowMs = timers.nowMs();
        connections.forEach(connection => {
            observe(connection, nowMs);
            if (nowMs - connection.takenAtMs > maxUnreadMs) {
                report(clientLimits.unreadResponses);
                connection.socket.destroy();
            }
        });
    };

    const hold = (connection: Connection, bytes: number): void => {
        connection.heldBytes += bytes;
        options.heap?.hold(bytes);
    };
    /** A request that was received whole may have taken effect, so that its connection waits for the response. */
    const mayGiveWay = (connection: Connection, nowMs: number): boolean =>
        connection.lastRequest?.complete === false || rank(connection, nowMs) > 0;
    /** Closes the connections that hold the most, if that is more than `leastBytes`, until there is room for so many bytes. */
    const makeHeapRoom = (bytes: number, leastBytes: number): boolean => {
        const { heap } = options;
        if (!heap || heap.hasRoom(bytes)) {
            return true;
        }
        const nowMs = timers.nowMs();
        const largest = [...connections.values()].filter(each => each.heldBytes > leastBytes && mayGiveWay(each, nowMs))
            .sort((a, b) => b.heldBytes - a.heldBytes);
        for (const connection of largest) {
            report(clientLimits.requestHeap);
            hold(connection, -connection.heldBytes);
            connection.socket.destroy();
            if (heap.hasRoom(bytes)) {
                return true;
            }
        }
        return false;
    };
    options.heap?.onExceeded(() => void makeHeapRoom(0, 0));
    /** The request counts until its response has ended and its body was received. */
    const holdRequest = (connection: Connection, request: http.IncomingMessage, response: http.ServerResponse, bytes: number): void => {
        hold(connection, bytes);
        const release = (): void => {
            if (response.closed && (request.complete || request.closed) && connections.has(connection.socket)) {
                response.off("close", release);
                request.off("close", release);
                hold(connection, -Math.min(bytes, connection.heldBytes));
            }
        };
        response.on("close", release);
        request.on("close", release);
    };

    const admit = (request: http.IncomingMessage, response: http.ServerResponse): boolean => {
        response.on("error", () => undefined);
        const connection = connections.get(request.socket);
        if (!connection || connection.socket.destroyed || connection.ignoredCount > 0) {
            request.resume();
            if (connection && ++connection.ignoredCount > maxIgnoredRequests) {
                connection.socket.destroy();
            }
            return false;
        }
        connection.lastRequest = request;
        connection.requestAtMs = timers.nowMs();
        connection.bytesBeforeRequest = Math.max(connection.readBytes, request.socket.bytesRead - maxReadBytes);
        connection.pendingCount += 1;
        response.once("close", () => connection.pendingCount -= 1);
        if (connection.pendingCount > limits.maxPendingRequests) {
            connection.ignoredCount = 1;
            report(clientLimits.pendingRequests);
            refuseRequest(
                request,
                response,
                429,
                `more than ${limits.maxPendingRequests} requests wait on this connection`,
                options.describeRefusal,
            );
            return false;
        }
        const heapBytes = heapBytesOfRequest(request.rawHeaders);
        const hasHeap = makeHeapRoom(heapBytes, heapBytes);
        if (!hasHeap && !options.heap!.hasRoomForRefusal(heapBytes)) {
            report(clientLimits.requestHeap);
            connection.socket.destroy();
            return false;
        }
        holdRequest(connection, request, response, heapBytes);
        if (!hasHeap) {
            report(clientLimits.requestHeap);
            refuseRequest(request, response, 503, "too many requests are in progress", options.describeRefusal);
            return false;
        }
        if (connection.isSurplus && connections.size > limits.maxConnections) {
            report(clientLimits.connections);
            refuseRequest(request, response, 503, "too many connections are open", options.describeRefusal);
            return false;
        }
        return true;
    };

    server.on("connection", socket => {
        const nowMs = timers.nowMs();
        const connection: Connection = {
            socket,
            readBytes: 0,
            readAtMs: nowMs,
            takenBytes: 0,
            takenAtMs: nowMs,
            pendingCount: 0,
            ignoredCount: 0,
            lastRequest: undefined,
            requestAtMs: nowMs,
            bytesBeforeRequest: 0,
            heldBytes: 0,
            isUpgraded: false,
            endSlicing: sliceInput(socket),
            isSurplus: connections.size >= limits.maxConnections,
        };
        connections.set(socket, connection);
        socket.once("close", () => {
            connections.delete(socket);
            hold(connection, -connection.heldBytes);
        });
        if (connections.size > limits.maxConnections) {
            makeRoom();
        }
    });
    if (options.onUpgrade) {
        const { onUpgrade } = options;
        server.on("upgrade", (request: http.IncomingMessage, stream, head: Buffer) => {
            const socket = stream as net.Socket;
            const connection = connections.get(socket);
            if (!connection || connection.pendingCount > 0) {
                socket.destroy();
                return;
            }
            connection.isUpgraded = true;
            connection.endSlicing();
            onUpgrade(request, socket, head);
        });
    }
    server.on("drop", () => {
        report(clientLimits.connections);
        makeRoom();
    });
    server.on("listening", () => {
        const lifetime = new AbortController();
        // A process that is late runs its timers before it reads and writes its sockets.
        timers.every(sweepIntervalMs, lifetime.signal, () => void setImmediate(sweep));
        server.once("close", () => lifetime.abort());
    });
    return server;
}
