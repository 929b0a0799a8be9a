/** Crowds of clients that send a request in small pieces without end. */
import net from "node:net";
import type { Crowd } from "./crowd.js";

export interface TricklingCrowdOptions {
    /** Address of the listener, `ip:port`. */
    address: string;
    connectionsCount: number;
    /** Sent at once. */
    start: string;
    /** Sent again and again, as long as the connection is open. */
    piece: string;
    pauseMs: number;
    /** Pieces that each connection sends before the crowd counts as complete. */
    firstPiecesCount?: number;
}

const defaultFirstPiecesCount = 20;
const openedAtOnceCount = 50;
const openPauseMs = 10;
const sleep = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

/** Opens the connections and starts to send. */
export function openTricklingCrowd(options: TricklingCrowdOptions): Crowd {
    const { address, connectionsCount, start, piece, pauseMs, firstPiecesCount = defaultFirstPiecesCount } = options;
    const [host, port] = address.split(":");
    const sockets: net.Socket[] = [];
    let isClosed = false;
    const trickle = async (socket: net.Socket): Promise<void> => {
        socket.on("error", () => undefined);
        socket.write(start);
        while (!socket.destroyed) {
            await sleep(pauseMs);
            socket.write(piece);
        }
    };
    const run = async (): Promise<void> => {
        while (sockets.length < connectionsCount && !isClosed) {
            for (let count = Math.min(openedAtOnceCount, connectionsCount - sockets.length); count > 0; count--) {
                const socket = net.connect(Number(port), host);
                sockets.push(socket);
                void trickle(socket);
            }
            await sleep(openPauseMs);
        }
        await sleep(firstPiecesCount * pauseMs);
    };
    return {
        sent: run(),
        close: () => {
            isClosed = true;
            sockets.forEach(socket => socket.destroy());
        },
    };
}
