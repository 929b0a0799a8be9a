/** A server that responds with raw bytes, so that a test can break the protocol and see which connections are reused. */
import { once } from "node:events";
import net, { type AddressInfo, type Socket } from "node:net";

export interface RawRequest {
    head: string;
    /** One character a byte. */
    body: string;
}

export interface RawServer {
    readonly address: string;
    readonly requests: RawRequest[];
    connectionsCount: number;
    /** Called for each request; writes the response to the socket. */
    respond: (socket: Socket, request: RawRequest) => void;
    /** Closes all connections and forgets what was received. */
    reset(): void;
    close(): void;
}

export function jsonResponse(body: string, status = "200 OK", extraHeaders = ""): string {
    return `HTTP/1.1 ${status}\r\n${extraHeaders}content-type: application/json\r\ncontent-length: ${
        Buffer.byteLength(body)
    }\r\n\r\n${body}`;
}

/** Reads whole requests from a socket. */
function serve(socket: Socket, respond: RawServer["respond"]): void {
    let rest = "";
    socket.on("error", () => undefined);
    socket.on("data", chunk => {
        rest += chunk.toString("latin1");
        const headEnd = rest.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return;
        }
        const head = rest.slice(0, headEnd);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        const body = rest.slice(headEnd + 4, headEnd + 4 + length);
        if (body.length === length) {
            rest = rest.slice(headEnd + 4 + length);
            respond(socket, { head, body });
        }
    });
}

export async function startRawServer(): Promise<RawServer> {
    const sockets = new Set<Socket>();
    const listener = net.createServer(socket => {
        server.connectionsCount += 1;
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        serve(socket, (each, request) => {
            server.requests.push(request);
            server.respond(each, request);
        });
    });
    listener.listen(0, "127.0.0.1");
    await once(listener, "listening");
    const server: RawServer = {
        address: `127.0.0.1:${(listener.address() as AddressInfo).port}`,
        requests: [],
        connectionsCount: 0,
        respond: () => undefined,
        reset: () => {
            sockets.forEach(socket => socket.destroy());
            server.requests.length = 0;
            server.connectionsCount = 0;
        },
        close: () => void listener.close(),
    };
    return server;
}

/** Sends a response, and then keeps the process from reading its sockets for a while. */
export function respondThenBlock(response: string, durationMs: number): RawServer["respond"] {
    return socket => {
        socket.write(response);
        const endsAtMs = performance.now() + durationMs;
        while (performance.now() < endsAtMs) {
            // Wait.
        }
    };
}
