/** Crowds whose connections send a body byte by byte, so that each request makes progress all the time and never ends. */
import net from "node:net";
import type { Crowd } from "./crowd.js";

export interface PacedCrowdOptions {
    /** Address of the listener, `ip:port`. */
    address: string;
    connectionsCount: number;
    /** Head of a request with its headers about the body. */
    head: string;
    /** What is sent of the body each time. */
    piece: string;
}

const intervalMs = 40;
/** Connections opened at once: less than the backlog of a listener, so that none is turned away by the kernel. */
const openedAtOnceCount = 100;
/** Long enough for the listener to be full of such requests. */
const openMs = 5_000;
const sleep = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

export function openPacedCrowd({ address, connectionsCount, head, piece }: PacedCrowdOptions): Crowd {
    const [host, port] = address.split(":");
    const sockets: net.Socket[] = [];
    const open = (): void => {
        const socket = net.connect(Number(port), host);
        socket.on("error", () => undefined);
        socket.on("connect", () => socket.write(head));
        socket.resume();
        sockets.push(socket);
    };
    const timer = setInterval(() => {
        sockets.forEach(socket => !socket.connecting && !socket.destroyed && socket.write(piece));
        for (let count = Math.min(openedAtOnceCount, connectionsCount - sockets.length); count > 0; count--) {
            open();
        }
    }, intervalMs);
    return {
        sent: sleep(openMs),
        close: () => {
            clearInterval(timer);
            sockets.forEach(socket => socket.destroy());
        },
    };
}
