/** Makes calls for other processes, which the service refuses, and asks other processes to make calls for this one. */
import type http from "node:http";
import type net from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import type { TimerService } from "../common/timerService.js";
import { startTransferTimeout } from "../common/transferTimeout.js";
import { decodeRelayRequest, decodeRelayResponse, encodeRelayMessage, maximumRelayFrameBytes } from "./callRelayMessages.js";
import { limitPartialMessages } from "./partialMessages.js";
import { type CallService, type JsonRequest, type JsonRequestResult, neverSent, responseLost } from "./serviceCalls.js";

export interface CallRelayServerOptions {
    host: string;
    port: number;
    /** Makes the call directly: it is passed on once only. */
    callDirectly: CallService;
    /** Whether the service serves this process; otherwise calls of others are turned away unsent. */
    isServed(): boolean;
    signal: AbortSignal;
    onInvalidMessage(reason: string): void;
    onListenFailed(reason: string): void;
    /** Creates the server that listens, with limits on its connections; it hands over those that become links. */
    createServer(onUpgrade: (request: http.IncomingMessage, socket: net.Socket, head: Buffer) => void): http.Server;
    /** Bytes of all messages that have not arrived whole and of all calls in progress; also of all results that were not taken. */
    maxPartialBytes: number;
    onPartialBytesExceeded(): void;
    timers: TimerService;
}

/** Calls of other processes in progress; watches are most of them, three a process. */
const maxRelayedCalls = 200;
/** Processes send a message in one fragment. */
const maxFragments = 16;
/** A link whose other end does not read is closed; so is the one with the most when all of them have too much. */
const maxUnsentBytes = 4_000_000;

/** Accepts calls of other processes until `signal` aborts. */
export function startCallRelayServer(options: CallRelayServerOptions): void {
    const server = new WebSocketServer({
        noServer: true,
        perMessageDeflate: false,
        maxPayload: maximumRelayFrameBytes,
        maxFragments,
        clientTracking: true,
    });
    let callsInProgress = 0;
    let callBytesInProgress = 0;
    const partialMessages = limitPartialMessages({
        maxBytes: options.maxPartialBytes,
        maxMessageBytes: maximumRelayFrameBytes,
        usedBytes: () => callBytesInProgress,
        onExceeded: options.onPartialBytesExceeded,
        nowMs: options.timers.nowMs,
    });
    const listener = options.createServer((request, socket, head) =>
        server.handleUpgrade(request, socket, head, webSocket => {
            partialMessages.watch(socket, webSocket);
            server.emit("connection", webSocket, request);
        })
    );

    const perform = async (request: JsonRequest, frameBytes: number): Promise<JsonRequestResult> => {
        if (!options.isServed()) {
            return neverSent("the service does not serve the neighbour either");
        }
        if (callsInProgress >= maxRelayedCalls) {
            return neverSent("the neighbour passes on too many calls");
        }
        if (callsInProgress > 0 && callBytesInProgress + frameBytes > options.maxPartialBytes) {
            options.onPartialBytesExceeded();
            return neverSent("the neighbour passes on too many large calls");
        }
        callsInProgress += 1;
        callBytesInProgress += frameBytes;
        try {
            return await options.callDirectly(request);
        }
        finally {
            callsInProgress -= 1;
            callBytesInProgress -= frameBytes;
        }
    };
    /** A larger frame would close the link, and with it all other calls. */
    const encodeResult = (callId: number, result: JsonRequestResult): Buffer => {
        const encoded = encodeRelayMessage({ callId, result });
        return encoded.length <= maximumRelayFrameBytes ?
            encoded :
            encodeRelayMessage({ callId, result: responseLost(`the response of ${encoded.length} bytes is too large to be passed on`) });
    };
    const limitUnsent = (): void => {
        const unread = [...server.clients].filter(each => each.readyState === each.OPEN && each.bufferedAmount > 0)
            .sort((a, b) => b.bufferedAmount - a.bufferedAmount);
        let totalBytes = unread.reduce((total, each) => total + each.bufferedAmount, 0);
        for (const each of unread) {
            if (totalBytes <= options.maxPartialBytes || unread.length === 1) {
                return;
            }
            totalBytes -= each.bufferedAmount;
            options.onPartialBytesExceeded();
            each.terminate();
        }
    };
    const receive = async (socket: WebSocket, frame: Buffer): Promise<void> => {
        const decoded = decodeRelayRequest(frame);
        if (decoded.err) {
            options.onInvalidMessage(decoded.val);
            socket.terminate();
            return;
        }
        const { callId, ...request } = decoded.val;
        const result = await perform(request, frame.length);
        if (socket.bufferedAmount > maxUnsentBytes) {
            socket.terminate();
        }
        else if (socket.readyState === socket.OPEN) {
            socket.send(encodeResult(callId, result));
            limitUnsent();
        }
    };

    listener.on("error", error => options.onListenFailed(String(error)));
    listener.listen(options.port, options.host);
    server.on("connection", socket => {
        socket.on("error", error => options.onInvalidMessage(String(error)));
        socket.on("message", data =>
            void receive(socket, data as Buffer).catch((error: unknown) => {
                options.onInvalidMessage(String(error));
                socket.terminate();
            }));
    });
    options.signal.addEventListener("abort", () => {
        server.clients.forEach(client => client.terminate());
        listener.closeAllConnections();
        listener.close();
    }, { once: true });
}

export interface CallRelayLink {
    call: CallService;
    close(): void;
}

export interface CallRelayLinkOptions {
    /** Address of the other process, `ip:port`. */
    address: string;
    timers: TimerService;
    /** The connection ended, or could not be opened. */
    onClosed(): void;
}

const connectTimeoutMs = 400;
/** Time beyond the call's own timeout after which the other process is taken not to answer any more. */
const answerMarginMs = 100;

interface PendingCall {
    isSent: boolean;
    settle(result: JsonRequestResult): void;
}

/** Opens a link to another process; calls wait until it is open. */
export function openCallRelayLink({ address, timers, onClosed }: CallRelayLinkOptions): CallRelayLink {
    const socket = new WebSocket(`ws://${address}`, {
        perMessageDeflate: false,
        maxPayload: maximumRelayFrameBytes,
        handshakeTimeout: connectTimeoutMs,
    });
    const pending = new Map<number, PendingCall>();
    let nextCallId = 1;
    let isClosed = false;
    let receivedBytes = (): number => 0;

    const close = (reason: string): void => {
        if (!isClosed) {
            isClosed = true;
            socket.terminate();
            const calls = [...pending.values()];
            pending.clear();
            calls.forEach(each => each.settle(each.isSent ? responseLost(reason) : neverSent(reason)));
            onClosed();
        }
    };
    const opened = new Promise<void>(resolve => socket.on("open", resolve));
    socket.on("upgrade", ({ socket: connection }) => receivedBytes = () => connection.bytesRead);
    socket.on("error", error => close(`the link to ${address} failed: ${String(error)}`));
    socket.on("close", () => close(`the link to ${address} was closed`));
    socket.on("message", data => {
        const decoded = decodeRelayResponse(data as Buffer);
        if (decoded.err) {
            close(`unreadable message from ${address}: ${decoded.val}`);
            return;
        }
        const call = pending.get(decoded.val.callId);
        pending.delete(decoded.val.callId);
        call?.settle(decoded.val.result);
    });

    return {
        call: ({ method, path, body, timeoutMs, transferTimeoutMs, mayStillSend }) =>
            new Promise(resolve => {
                if (isClosed) {
                    resolve(neverSent(`the link to ${address} is closed`));
                    return;
                }
                const callId = nextCallId++;
                const cancelTimeout = startTransferTimeout({
                    timeoutMs: timeoutMs + answerMarginMs,
                    transferTimeoutMs: transferTimeoutMs ?? 0,
                    receivedBytes: () => receivedBytes(),
                    after: timers.after,
                    onTimeout: () => close(`${address} did not answer a call`),
                });
                const call: PendingCall = {
                    isSent: false,
                    settle: result => {
                        cancelTimeout();
                        resolve(result);
                    },
                };
                pending.set(callId, call);
                void opened.then(() => {
                    if (!pending.has(callId)) {
                        return;
                    }
                    if (mayStillSend && !mayStillSend()) {
                        pending.delete(callId);
                        call.settle(neverSent("the caller may no longer send the request"));
                        return;
                    }
                    call.isSent = true;
                    socket.send(encodeRelayMessage({ callId, method, path, body, timeoutMs, transferTimeoutMs }));
                });
            }),
        close: () => close("closed locally"),
    };
}
