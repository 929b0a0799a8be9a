/** Crowds of WebSocket links: raw connections that send what they like once the upgrade is accepted, and read nothing after that. */
import { once } from "node:events";
import net from "node:net";
import type { Crowd } from "./crowd.js";

export interface LinkCrowdOptions {
    /** Address of the listener, `ip:port`. */
    address: string;
    linksCount: number;
    /** Headers of the upgrade request beyond those of the protocol, each with its line end. */
    headers?: string;
    /** What a link sends after the upgrade; it stays open afterwards. */
    pieces: readonly Buffer[];
    /** Time between two pieces; 0 if not given. */
    pauseMs?: number;
}

/** A listener may stop reading for good, so that the crowd does not wait for ever. */
const maxSendMs = 10_000;
const sleep = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

const upgradeRequest = (headers: string): string =>
    "GET /peer HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n" +
    `sec-websocket-version: 13\r\nsec-websocket-key: ${Buffer.alloc(16).toString("base64")}\r\n${headers}\r\n`;

async function sendPieces(socket: net.Socket, pieces: readonly Buffer[], pauseMs: number): Promise<void> {
    for (const piece of pieces) {
        if (!socket.write(piece)) {
            await Promise.race([once(socket, "drain"), once(socket, "close")]).catch(() => undefined);
        }
        if (socket.destroyed) {
            return;
        }
        if (pauseMs > 0) {
            await sleep(pauseMs);
        }
    }
}

function openLink(socket: net.Socket, headers: string): Promise<void> {
    return new Promise(resolve => {
        socket.on("error", () => undefined);
        socket.once("close", () => resolve());
        socket.once("connect", () => socket.write(upgradeRequest(headers)));
        socket.once("data", () => {
            socket.pause();
            resolve();
        });
    });
}

export function openLinkCrowd({ address, linksCount, headers = "", pieces, pauseMs = 0 }: LinkCrowdOptions): Crowd {
    const [host, port] = address.split(":");
    const sockets = Array.from({ length: linksCount }, () => net.connect(Number(port), host));
    const sent = sockets.map(async socket => {
        await openLink(socket, headers);
        await sendPieces(socket, pieces, pauseMs);
    });
    return {
        sent: Promise.race([Promise.all(sent).then(() => undefined), sleep(maxSendMs)]),
        close: () => sockets.forEach(socket => socket.destroy()),
    };
}

const extendedLengthBytes = 8;
const binaryOpcode = 0x82;
const maskedLongLength = 0xff;

/** A frame of a client with a binary message; its mask is zero, so that the payload stays as it is. */
export function binaryFrame(payload: Buffer): Buffer {
    const head = Buffer.alloc(2 + extendedLengthBytes + 4);
    head[0] = binaryOpcode;
    head[1] = maskedLongLength;
    head.writeBigUInt64BE(BigInt(payload.length), 2);
    return Buffer.concat([head, payload]);
}

const arrayOfManyCode = 0xdd;
const emptyMapCode = 0x80;

/** The head of a MessagePack array with so many elements. */
export function arrayHead(elementsCount: number): Buffer {
    const head = Buffer.alloc(5);
    head[0] = arrayOfManyCode;
    head.writeUInt32BE(elementsCount, 1);
    return head;
}

/** A MessagePack array of empty maps: each takes one byte of the message and tens of bytes once it is decoded. */
export function arrayOfEmptyMaps(elementsCount: number): Buffer {
    return Buffer.concat([arrayHead(elementsCount), Buffer.alloc(elementsCount, emptyMapCode)]);
}
