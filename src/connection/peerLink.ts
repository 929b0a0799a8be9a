/** One link to a peer: greeting, heartbeat, checked messages, and a bounded send buffer. */
import type { WebSocket } from "ws";
import type { TimerService } from "../common/timerService.js";
import { decodePeerMessage, encodePeerMessage, type PeerMessage, peerProtocolVersion } from "./peerMessages.js";

/** Messages that follow the greeting. */
export type PeerPayload = Exclude<PeerMessage, { type: "hello" }>;

export interface PeerLink {
    /** Id of the peer's incarnation; `undefined` before its greeting. */
    peerId(): string | undefined;
    send(message: PeerPayload): void;
    close(): void;
}

export interface PeerLinkOptions {
    ownId: string;
    heldVersion(): number;
    timers: TimerService;
    onHandshake(link: PeerLink, peerId: string): void;
    onMessage(link: PeerLink, message: PeerPayload): void;
    onInvalidMessage(reason: string): void;
    onClosed(link: PeerLink, reason: string): void;
    onBytes(direction: "sent" | "received", bytes: number): void;
}

/** A link that delivered nothing for this long is closed. */
const silenceTimeoutMs = 2_000;
const silenceCheckIntervalMs = 500;
/** A link that has more than this unsent is closed: the peer does not read. */
const largestBacklogBytes = 4_000_000;
/** Messages that cannot be read before a link is closed. */
const refusedMessagesLimit = 10;

/** Creates the link over an open socket. */
export function createPeerLink(socket: WebSocket, options: PeerLinkOptions): PeerLink {
    const { timers } = options;
    const lifetime = new AbortController();
    let peerId: string | undefined;
    let lastReceivedMs = timers.nowMs();
    let refusedCount = 0;
    let closeReason = "the peer closed it";

    const sendMessage = (message: PeerMessage): void => {
        if (socket.readyState !== socket.OPEN) {
            return;
        }
        if (socket.bufferedAmount > largestBacklogBytes) {
            close("the peer does not read");
            return;
        }
        const frame = encodePeerMessage(message);
        options.onBytes("sent", frame.length);
        socket.send(frame);
    };

    const close = (reason: string): void => {
        closeReason = reason;
        socket.terminate();
    };

    const greet = (message: PeerMessage): void => {
        if (message.type !== "hello" || message.protocolVersion !== peerProtocolVersion) {
            close(`the peer does not speak version ${peerProtocolVersion} of the protocol`);
            return;
        }
        peerId = message.memberId;
        options.onHandshake(link, peerId);
    };

    const receive = (frame: Buffer): void => {
        lastReceivedMs = timers.nowMs();
        options.onBytes("received", frame.length);
        const message = decodePeerMessage(frame);
        if (message.err) {
            options.onInvalidMessage(message.val);
            refusedCount++;
            if (refusedCount >= refusedMessagesLimit) {
                close("too many messages could not be read");
            }
            return;
        }
        if (peerId === undefined) {
            greet(message.val);
        }
        else if (message.val.type !== "hello") {
            options.onMessage(link, message.val);
        }
    };

    const link: PeerLink = {
        peerId: () => peerId,
        send: sendMessage,
        close: () => close("closed here"),
    };

    socket.on("message", data => receive(data as Buffer));
    socket.on("error", error => closeReason = error.message);
    socket.on("close", () => {
        lifetime.abort();
        options.onClosed(link, closeReason);
    });
    timers.every(silenceCheckIntervalMs, lifetime.signal, nowMs => {
        if (nowMs - lastReceivedMs > silenceTimeoutMs) {
            close("the peer went silent");
        }
    });
    sendMessage({ type: "hello", protocolVersion: peerProtocolVersion, memberId: options.ownId, heldVersion: options.heldVersion() });
    return link;
}
