/** Answers POST requests like a worker's listing: after `waitMs` of the request body, with as many runs as the path asks for. */
import http from "node:http";
import type { AddressInfo } from "node:net";

function makeListing(runsCount: number): string {
    return JSON.stringify({
        clockMs: 123_456,
        born: 1_764_800_000_000,
        running: Array.from({ length: runsCount }, (_, index) => [`a1b2c3d4e5f60718.0.${index}.1`, 41_000_000 + index, "", 100]),
        ended: [],
    });
}

const listings = new Map<string, string>();

const server = http.createServer((request, response) => {
    const path = request.url ?? "/";
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
        const { waitMs } = JSON.parse(Buffer.concat(chunks).toString()) as { waitMs: number };
        const listing = listings.get(path) ?? makeListing(Number(path.slice(1)));
        listings.set(path, listing);
        const respond = (): void => {
            response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(listing) });
            response.end(listing);
        };
        if (waitMs > 0) {
            setTimeout(respond, waitMs);
        }
        else {
            respond();
        }
    });
});
server.keepAliveTimeout = 60_000;
server.listen(0, "127.0.0.1", () => console.log(`listening ${(server.address() as AddressInfo).port}`));
