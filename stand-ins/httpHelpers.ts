/** HTTP helpers shared by the stand-ins. */
import type http from "node:http";
import type { AddressInfo } from "node:net";

export interface ListenAddress {
    host: string;
    /** Port number; 0 selects a free port. */
    port: number;
}

/** Starts listening and resolves with the port. The server is closed when the signal aborts. */
export function listen(server: http.Server, address: ListenAddress, signal: AbortSignal): Promise<number> {
    signal.addEventListener("abort", () => {
        server.closeAllConnections();
        server.close();
    }, { once: true });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => resolve((server.address() as AddressInfo).port));
    });
}

/** Parses the request body as JSON; an empty body yields an empty object. */
export async function readJson(request: http.IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text);
}

export function sendJson(response: http.ServerResponse, statusCode: number, body: unknown): void {
    const text = JSON.stringify(body);
    response.writeHead(statusCode, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
}
