/**
 * Crowds of hostile clients against a gateway whose backend servers do not read, and clients that are slow on their side: bodies that
 * come byte by byte and answers that are not read. They guard against a process that outgrows its memory, or that has no room for
 * ordinary callers any more.
 */
import { once } from "node:events";
import net from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { peerKey } from "../../harness/fleet.js";
import { openService } from "../../harness/smallFleet.js";
import type { PlainObject } from "../../src/version/fleetDocument.js";
import { checkCrowd } from "./checkCrowd.js";
import { openCrowd, pipelinedRequests, unfinishedBody } from "./crowd.js";
import { type FleetCrowdTarget, startFleetCrowdTarget, zone } from "./fleetTarget.js";
import { binaryFrame, openLinkCrowd } from "./linkCrowd.js";
import { openTricklingCrowd, type TricklingCrowdOptions } from "./tricklingCrowd.js";

/** An idle process has some 100 MB. */
const limits = { memoryMb: 180, maxFds: 4_100 };
const heapMb = 80;
const addressPrefix = "127.96";
const slowServer = { host: `${addressPrefix}.1.150`, port: 8080 };
const slowService = "uploads";
const slowSlots = 200;
const openHead = (service: string): string => `POST /v1/services/${service}/a HTTP/1.1\r\nhost: a\r\nx-token: a\r\n`;
const largeAnswerRequest = `GET /v1/services/${openService}/a HTTP/1.1\r\nhost: a\r\nx-token: a\r\nx-answer-bytes: 5000000\r\n\r\n`;
const peerFrameBytes = 1_100_000;
/** Goes on until the listener is full of such requests. */
const byteByByte: Pick<TricklingCrowdOptions, "pauseMs" | "firstPiecesCount"> = { pauseMs: 40, firstPiecesCount: 125 };

/** Accepts connections and reads nothing. */
async function startServerThatDoesNotRead(): Promise<{ stop(): void }> {
    const sockets = new Set<net.Socket>();
    const server = net.createServer({ pauseOnConnect: true }, socket => {
        socket.on("error", () => undefined);
        sockets.add(socket);
    });
    server.listen(slowServer.port, slowServer.host);
    await once(server, "listening");
    return {
        stop: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

describe("a gateway between slow clients and slow backend servers", () => {
    let target: FleetCrowdTarget;
    let server: { stop(): void };
    beforeEach(async () => {
        target = await startFleetCrowdTarget({
            addressPrefix,
            limits,
            heapMb,
            changeDocument: document => {
                const base = document.base as {
                    pools: PlainObject;
                    services: Record<string, PlainObject>;
                    teams: Record<string, PlainObject>;
                };
                const servers = (document.overlays[zone] as { backendServers: Record<string, PlainObject> }).backendServers;
                const [example] = Object.values(servers);
                return {
                    ...document,
                    base: {
                        ...base,
                        teams: { vik: { ...base.teams["vik"], limitSlots: slowSlots + 8 } },
                        pools: { ...base.pools, slow: base.pools["main"] },
                        services: { ...base.services, [slowService]: { ...base.services[openService], pool: "slow" } },
                    },
                    overlays: {
                        [zone]: {
                            backendServers: {
                                ...servers,
                                slow: {
                                    ...example,
                                    pool: "slow",
                                    vmId: "slow",
                                    address: `${slowServer.host}:${slowServer.port}`,
                                    slotsCount: slowSlots,
                                    connectionsCount: slowSlots,
                                },
                            },
                        },
                    },
                };
            },
        });
        server = await startServerThatDoesNotRead();
    });
    afterEach(async () => {
        await target.stop();
        server.stop();
    });

    it("should outlive many unfinished bodies for a backend server that does not read", () =>
        checkCrowd(target.gateway, () => [openCrowd({
            address: target.addresses.callers,
            connectionsCount: 400,
            pieces: unfinishedBody(openHead(slowService), 250_000, 16_384),
        })]));

    it("should outlive many unfinished bodies in chunks of one byte for a backend server that does not read", () =>
        checkCrowd(target.gateway, () => [openCrowd({
            address: target.addresses.callers,
            connectionsCount: 100,
            pieces: unfinishedBody(openHead(slowService), 60_000, 1),
        })]));

    it("should outlive many large answers that are not read", () =>
        checkCrowd(target.gateway, () => [openCrowd({
            address: target.addresses.callers,
            connectionsCount: 300,
            pieces: pipelinedRequests(largeAnswerRequest, 100),
        })]));

    it("should answer ordinary callers beside many bodies of known length that come byte by byte", () =>
        checkCrowd(target.gateway, () => [openTricklingCrowd({
            ...byteByByte,
            address: target.addresses.callers,
            connectionsCount: 700,
            start: `${openHead(openService)}content-length: 60000\r\n\r\n`,
            piece: "x",
        })]));

    it("should answer ordinary callers beside many bodies in chunks that come byte by byte", () =>
        checkCrowd(target.gateway, () => [openTricklingCrowd({
            ...byteByByte,
            address: target.addresses.callers,
            connectionsCount: 700,
            start: `${openHead(slowService)}transfer-encoding: chunked\r\n\r\n`,
            piece: "1\r\nx\r\n",
        })]));

    it("should answer operators beside many bodies without a key that come byte by byte", () =>
        checkCrowd({ ...target.gateway, isOrdinaryRequestAnswered: target.isOperatorAnswered }, () => [openTricklingCrowd({
            ...byteByByte,
            address: target.addresses.operators,
            connectionsCount: 200,
            start: "PUT /admin/v1/configuration HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n",
            piece: "x",
        })]));

    it("should answer a steward's probe beside many bodies that come byte by byte", () =>
        checkCrowd(target.steward, () => [openTricklingCrowd({
            ...byteByByte,
            address: target.addresses.steward,
            connectionsCount: 1_200,
            start: "POST /readyz HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n",
            piece: "x",
        })]));

    it("should outlive large messages of peers that do not arrive whole", () =>
        checkCrowd(target.gateway, () => [openLinkCrowd({
            address: target.addresses.peers,
            linksCount: 150,
            headers: `authorization: Bearer ${peerKey}\r\n`,
            pieces: [binaryFrame(Buffer.alloc(peerFrameBytes)).subarray(0, peerFrameBytes)],
        })]));
});
