/** HTTP helpers of the stand-ins and the callers. */
import http from "node:http";
import net, { type AddressInfo } from "node:net";

export interface Answer {
    /** 0 if there was no answer. */
    status: number;
    body: Record<string, unknown>;
}

/** Handles a request; without an answer, the connection stays silent. */
export type Handler = (request: http.IncomingMessage, url: URL, text: string) => Promise<[status: number, body: object] | undefined>;

export interface JsonServer {
    address: string;
    close(): void;
}

/** Starts a server on the address, or on a free port. */
export async function startJsonServer(handle: Handler, address = "127.0.0.1:0"): Promise<JsonServer> {
    const [host, port] = address.split(":");
    const server = http.createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const url = new URL(request.url ?? "/", "http://stand-in");
            handle(request, url, Buffer.concat(chunks).toString("utf8")).then(answer => {
                if (answer && !response.destroyed) {
                    response.writeHead(answer[0], { "content-type": "application/json" }).end(JSON.stringify(answer[1]));
                }
            }).catch(() => response.destroy());
        });
    });
    server.keepAliveTimeout = 120_000;
    await new Promise<void>(resolve => server.listen(Number(port), host, resolve));
    return {
        address: `${host}:${(server.address() as AddressInfo).port}`,
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
}

/** Sends a request on a connection of its own. */
export function send(
    address: string,
    method: string,
    path: string,
    options: { headers?: Record<string, string>; body?: object; timeoutMs?: number } = {},
): Promise<Answer> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const fail = (): void => resolve({ status: 0, body: {} });
        const request = http.request({
            host,
            port: Number(port),
            method,
            path,
            agent: false,
            headers: { "content-type": "application/json", ...options.headers },
            timeout: options.timeoutMs ?? 3_000,
        }, response => {
            let text = "";
            response.setEncoding("utf8").on("data", (chunk: string) => text += chunk).on("error", fail).on("end", () => {
                try {
                    resolve({ status: response.statusCode ?? 0, body: text === "" ? {} : JSON.parse(text) as Record<string, unknown> });
                }
                catch {
                    resolve({ status: response.statusCode ?? 0, body: {} });
                }
            });
        });
        request.on("timeout", () => request.destroy()).on("error", fail);
        request.end(options.body === undefined ? undefined : JSON.stringify(options.body));
    });
}

/** Whether nothing listens on the address. */
async function isFree(host: string, port: number): Promise<boolean> {
    const server = net.createServer();
    const hasListened = await new Promise<boolean>(resolve => {
        server.once("error", () => resolve(false)).listen(port, host, () => resolve(true));
    });
    await new Promise<void>(resolve => hasListened ? server.close(() => resolve()) : resolve());
    return hasListened;
}

let nextHostNumber = 1;

/** Returns a loopback address of its own for a process; its ports below the range of outgoing connections are free. */
export async function findFreeHost(checkedPort: number): Promise<string> {
    for (;;) {
        const number = nextHostNumber++;
        const host = `127.${64 + process.pid % 128}.${Math.floor(number / 250)}.${1 + number % 250}`;
        if (await isFree(host, checkedPort)) {
            return host;
        }
    }
}

export function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Waits until the check passes; returns whether it did in time. */
export async function waitFor(check: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean> {
    const endsAtMs = performance.now() + timeoutMs;
    while (!await check()) {
        if (performance.now() > endsAtMs) {
            return false;
        }
        await sleep(20);
    }
    return true;
}
