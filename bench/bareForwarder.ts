/** Baseline proxy without gateway logic: forwards requests to the backend servers in round-robin order with `undici`. */
import http from "node:http";
import { Pool } from "undici";

const [address = "", ...servers] = process.argv.slice(2);
const [host, port] = address.split(":");
const connectionsPerServer = 32;
const pools = servers.map(server => new Pool(`http://${server}`, { connections: connectionsPerServer }));
const servicePrefix = "/v1/services";
let next = 0;

const server = http.createServer((request, response) => {
    const pool = pools[next++ % pools.length]!;
    const headers = { ...request.headers };
    delete headers.connection;
    delete headers["keep-alive"];
    pool.stream(
        {
            method: request.method as "GET",
            path: (request.url ?? "").slice(servicePrefix.length),
            headers,
            body: request.method === "GET" ? undefined : request,
            opaque: response,
        },
        ({ statusCode, headers: answerHeaders }) => {
            response.writeHead(statusCode, answerHeaders as http.OutgoingHttpHeaders);
            return response;
        },
    ).catch(() => response.destroy());
});
server.listen(Number(port), host, () => console.log("listening"));
