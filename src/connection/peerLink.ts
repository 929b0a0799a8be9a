/** A connection to a peer with a handshake, a receive timeout, message validation and a bounded send buffer. */
import type { WebSocket } from "ws";
import type { TimerService } from "../common/timerService.js";
import { decodePeerMessage, encodePeerMessage, type PeerMessage, peerProtocolVersion } from "./peerMessages.js";

/** Messages after the handshake. */
export type PeerPayload = Exclude<PeerMessage, { type: "hello" }>;

export interface PeerLink {
    /** Id of the peer's incarnation; `undefined` before the handshake. */
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

/** A link without a received message for this time is closed. */
const receiveTimeoutMs = 2_000;
const receiveCheckIntervalMs = 500;
/** A link with more unsent data is closed, because the peer does not read fast enough. */
const maximumUnsentBytes = 4_000_000;
/** Number of invalid messages after which a link is closed. */
const maximumInvalidMessages = 10;

/** Creates a link over an open socket and sends the handshake message. */
export function createPeerLink(socket: WebSocket, options: PeerLinkOptions): PeerLink {
    const { timers } = options;
    const lifetime = new AbortController();
    let peerId: string | undefined;
    let lastReceivedMs = timers.nowMs();
    let invalidCount = 0;
    let closeReason = "closed by the peer";

    const sendMessage = (message: PeerMessage): void => {
        if (socket.readyState !== socket.OPEN) {
            return;
        }
        if (socket.bufferedAmount > maximumUnsentBytes) {
            close("send buffer limit exceeded: the peer does not read");
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

    const receiveHandshake = (message: PeerMessage): void => {
        if (message.type !== "hello" || message.protocolVersion !== peerProtocolVersion) {
            close(`invalid handshake: expected protocol version ${peerProtocolVersion}`);
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
            invalidCount++;
            if (invalidCount >= maximumInvalidMessages) {
                close("too many invalid messages");
            }
            return;
        }
        if (peerId === undefined) {
            receiveHandshake(message.val);
        }
        else if (message.val.type !== "hello") {
            options.onMessage(link, message.val);
        }
    };

    const link: PeerLink = {
        peerId: () => peerId,
        send: sendMessage,
        close: () => close("closed locally"),
    };

    socket.on("message", data => receive(data as Buffer));
    socket.on("error", error => closeReason = error.message);
    socket.on("close", () => {
        lifetime.abort();
        options.onClosed(link, closeReason);
    });
    timers.every(receiveCheckIntervalMs, lifetime.signal, nowMs => {
        if (nowMs - lastReceivedMs > receiveTimeoutMs) {
            close("receive timeout: no message from the peer");
        }
    });
    sendMessage({ type: "hello", protocolVersion: peerProtocolVersion, memberId: options.ownId, heldVersion: options.heldVersion() });
    return link;
}
