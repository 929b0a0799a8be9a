/**
 * Feeds the parser of a connection in small slices. Node parses all that one read has returned, up to 64 KiB, before anything can stop it:
 * thousands of pipelined requests, each with its objects, which stay in memory until the event loop closes the connection.
 */
import type net from "node:net";

/** Some tens of the smallest requests. */
const sliceBytes = 1_024;

/** Returns a function that ends the slicing, for a connection that changes its protocol. */
export function sliceInput(socket: net.Socket): () => void {
    const parse = socket.listeners("data") as ((data: Buffer) => void)[];
    let isSliced = true;
    const feed = (data: Buffer): void => {
        for (let start = 0; start < data.length && !socket.destroyed; start += sliceBytes) {
            if (!isSliced) {
                // A client sends nothing in a new protocol before the server has agreed to it.
                socket.destroy();
                return;
            }
            // Node pauses the connection while a body is not read or responses are not taken; its parser takes nothing then.
            if (socket.isPaused()) {
                socket.unshift(data.subarray(start));
                return;
            }
            const slice = data.subarray(start, start + sliceBytes);
            parse.forEach(listener => listener.call(socket, slice));
        }
    };
    parse.forEach(listener => socket.removeListener("data", listener));
    socket.on("data", feed);
    return () => {
        isSliced = false;
        socket.removeListener("data", feed);
    };
}
