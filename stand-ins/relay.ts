/**
 * A TCP relay between two parts, which can cut them off. It is driven over HTTP on its own port plus one:
 * `POST /mode` with `{"mode": "forward" | "silent" | "closed"}`. Silent: connections that were open stay open and
 * deliver nothing for good; new ones work. Blackhole: new ones deliver nothing either.
 */
import http from "node:http";
import net from "node:net";
import { listen, type ListenAddress, readJson, sendJson } from "./serving.js";

export const relayModes = { forward: "forward", silent: "silent", blackhole: "blackhole", closed: "closed" } as const;
export type RelayMode = (typeof relayModes)[keyof typeof relayModes];

interface Pair {
    near: net.Socket;
    far: net.Socket;
    isSilent: boolean;
}

/** Starts a relay and resolves with its port. */
export async function startRelay(address: ListenAddress, target: ListenAddress, signal: AbortSignal): Promise<number> {
    const pairs = new Set<Pair>();
    let mode: RelayMode = relayModes.forward;

    const connectPair = (near: net.Socket): void => {
        if (mode === relayModes.closed) {
            near.destroy();
            return;
        }
        const far = net.connect(target.port, target.host);
        const pair: Pair = { near, far, isSilent: mode === relayModes.blackhole };
        pairs.add(pair);
        near.on("data", chunk => pair.isSilent || far.write(chunk));
        far.on("data", chunk => pair.isSilent || near.write(chunk));
        const end = (): void => {
            pairs.delete(pair);
            near.destroy();
            far.destroy();
        };
        // Neither end of a silent pair learns that the other has gone.
        [near, far].forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("close", () => pair.isSilent || end());
        });
    };

    const setMode = (next: RelayMode): void => {
        mode = next;
        if (next === relayModes.silent || next === relayModes.blackhole) {
            pairs.forEach(pair => pair.isSilent = true);
        }
        if (next === relayModes.closed) {
            pairs.forEach(pair => pair.near.destroy());
        }
    };

    const relay = net.createServer(connectPair);
    const port = await new Promise<number>(resolve =>
        relay.listen(address.port, address.host, () => resolve((relay.address() as net.AddressInfo).port))
    );
    signal.addEventListener("abort", () => {
        relay.close();
        pairs.forEach(pair => pair.near.destroy());
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
