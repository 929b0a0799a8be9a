/** Listeners by address. */
import type http from "node:http";

/** Splits `ip:port`; an IPv6 address stands in brackets. */
export function parseAddress(address: string): { host: string; port: number } {
    const cut = address.lastIndexOf(":");
    return { host: address.slice(0, cut).replace(/^\[|\]$/g, ""), port: Number(address.slice(cut + 1)) };
}

/** Starts to listen; rejects if the address cannot be had. */
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

/** Stops accepting and resolves when the last connection has ended. */
export function closeServer(server: http.Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}
