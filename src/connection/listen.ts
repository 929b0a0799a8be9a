/** Helpers for servers that listen on an `ip:port` address. */
import type http from "node:http";

/** Splits `ip:port`; an IPv6 address is enclosed in brackets. */
export function parseAddress(address: string): { host: string; port: number } {
    const separatorIndex = address.lastIndexOf(":");
    return { host: address.slice(0, separatorIndex).replace(/^\[|\]$/g, ""), port: Number(address.slice(separatorIndex + 1)) };
}

/** Starts to listen; rejects if the address is not available. */
export function listenOn(server: http.Server, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.removeListener("error", reject);
            resolve();
        });
    });
}

/** Stops accepting connections and resolves when the last one has ended. */
export function closeServer(server: http.Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}
