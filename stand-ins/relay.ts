/**
 * TCP proxy that simulates network failures between two processes. The mode is set over HTTP on the proxy's port plus one:
 * `POST /mode` with `{"mode": "forward" | "silent" | "blackhole" | "closed"}`.
 *
 * - `forward`: new connections are forwarded.
 * - `silent`: existing connections stay open but never deliver data again; new connections are forwarded.
 * - `blackhole`: neither existing nor new connections deliver data.
 * - `closed`: existing connections are closed and new ones are rejected.
 */
import http from "node:http";
import net from "node:net";
import { listen, type ListenAddress, readJson, sendJson } from "./httpHelpers.js";

export const relayModes = { forward: "forward", silent: "silent", blackhole: "blackhole", closed: "closed" } as const;
export type RelayMode = (typeof relayModes)[keyof typeof relayModes];

interface RelayedConnection {
    clientSocket: net.Socket;
    upstreamSocket: net.Socket;
    isSilent: boolean;
}

/** Starts a TCP proxy to `target` and resolves with its port. */
export async function startRelay(address: ListenAddress, target: ListenAddress, signal: AbortSignal): Promise<number> {
    const connections = new Set<RelayedConnection>();
    let mode: RelayMode = relayModes.forward;

    const relayConnection = (clientSocket: net.Socket): void => {
        if (mode === relayModes.closed) {
            clientSocket.destroy();
            return;
        }
        const upstreamSocket = net.connect(target.port, target.host);
        const connection: RelayedConnection = { clientSocket, upstreamSocket, isSilent: mode === relayModes.blackhole };
        connections.add(connection);
        clientSocket.on("data", chunk => connection.isSilent || upstreamSocket.write(chunk));
        upstreamSocket.on("data", chunk => connection.isSilent || clientSocket.write(chunk));
        const end = (): void => {
            connections.delete(connection);
            clientSocket.destroy();
            upstreamSocket.destroy();
        };
        // Closing one socket of a silent connection must not be visible to the other side.
        [clientSocket, upstreamSocket].forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("close", () => connection.isSilent || end());
        });
    };

    const setMode = (next: RelayMode): void => {
        mode = next;
        if (next === relayModes.silent || next === relayModes.blackhole) {
            connections.forEach(connection => connection.isSilent = true);
        }
        if (next === relayModes.closed) {
            connections.forEach(connection => connection.clientSocket.destroy());
        }
    };

    const relay = net.createServer(relayConnection);
    const port = await new Promise<number>(resolve =>
        relay.listen(address.port, address.host, () => resolve((relay.address() as net.AddressInfo).port))
    );
    signal.addEventListener("abort", () => {
        relay.close();
        connections.forEach(connection => connection.clientSocket.destroy());
    }, { once: true });

    const control = http.createServer((request, response) =>
        void readJson(request).then(body => {
            setMode((body as { mode: RelayMode }).mode);
            sendJson(response, 200, { mode });
        })
    );
    await listen(control, { host: address.host, port: port + 1 }, signal);
    return port;
}
