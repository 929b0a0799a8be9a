/** The gateways of this zone: dials them, tells them the load, and passes configuration on when the store cannot. */
import type http from "node:http";
import type { Duplex } from "node:stream";
import { WebSocket, WebSocketServer } from "ws";
import type { TimerService } from "../common/timerService.js";
import type { MemberRecord } from "../connection/members.js";
import { createPeerLink, type PeerLink, type PeerLinkOptions, type PeerPayload } from "../connection/peerLink.js";
import { maximumFrameBytes } from "../connection/peerMessages.js";
import { parseVersion } from "../version/fleetVersion.js";
import { areSecretsEqual } from "../version/teamKeys.js";
import type { ConfigurationManager } from "./configurationManager.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { ServerTable } from "./serverTable.js";
import type { UsageTracker } from "./usageTracker.js";

export interface PeerManager {
    /** Takes in the gateways of the zone; dials those that this side has to dial. */
    setMembers(members: readonly MemberRecord[]): void;
    /** Asks all peers for the configuration that they hold. */
    requestConfiguration(): void;
    connectedPeerIds(): string[];
    /** Takes over an upgraded connection from the peer listener. */
    acceptUpgrade(request: http.IncomingMessage, socket: Duplex, head: Buffer): void;
}

export interface PeerManagerOptions {
    ownId: string;
    peerKey: string;
    seeds: readonly string[];
    timers: TimerService;
    logger: Logger;
    configuration: ConfigurationManager;
    servers: ServerTable;
    usage: UsageTracker;
    signal: AbortSignal;
    onBytes(direction: "sent" | "received", bytes: number): void;
}

const loadIntervalMs = 100;
/** With more peers than this the load is told less often, so that a node's bytes stay bounded as its zone grows. */
const peersAtFullRate = 8;
/** An unchanged load is told only this often, as the heartbeat. */
const heartbeatIntervalMs = 500;
const firstRedialDelayMs = 200;
const longestRedialDelayMs = 5_000;
const handshakeTimeoutMs = 2_000;

interface Dial {
    address: string;
    isOpen: boolean;
    delayMs: number;
    dueMs: number;
}

/** Creates the peers of a gateway. */
export function createPeerManager(options: PeerManagerOptions): PeerManager {
    const { timers, logger, configuration, servers, usage } = options;
    const links = new Map<string, PeerLink>();
    const dials = new Map<string, Dial>();
    const server = new WebSocketServer({ noServer: true, maxPayload: maximumFrameBytes });
    let lastLoad = "";
    let lastLoadMs = -Infinity;

    const receive = (link: PeerLink, message: PeerPayload): void => {
        const peerId = link.peerId()!;
        switch (message.type) {
            case "load":
                servers.setPeerCounts(peerId, new Map(Object.entries(message.serverCounts)));
                usage.setPeerUsage(peerId, new Map(Object.entries(message.teamUsageMs)));
                if (message.heldVersion > configuration.version()) {
                    askForConfiguration(link);
                }
                return;
            case "configurationRequest":
                sendConfiguration(link, message.epoch);
                return;
            case "configuration":
                takeConfiguration(peerId, message.record, message.epoch);
        }
    };

    const askForConfiguration = (link: PeerLink): void => link.send({ type: "configurationRequest", epoch: configuration.epoch() });

    const sendConfiguration = (link: PeerLink, epoch: number): void => {
        const held = configuration.current();
        if (held) {
            link.send({ type: "configuration", epoch, record: JSON.stringify(held.record) });
        }
    };

    const takeConfiguration = (peerId: string, record: string, epoch: number): void => {
        const parsed = parseVersion(record);
        if (parsed.err) {
            logger.log(logEvents.configurationRejected, { source: peerId, reason: parsed.val });
            return;
        }
        configuration.applyIfNewer(parsed.val, `peer ${peerId}`, epoch);
    };

    const forget = (link: PeerLink, reason: string): void => {
        const peerId = link.peerId();
        if (peerId === undefined || links.get(peerId) !== link) {
            return;
        }
        links.delete(peerId);
        // A lost peer's last report is dropped: kept, it would hold its servers' slots for good.
        servers.setPeerCounts(peerId, undefined);
        usage.setPeerUsage(peerId, undefined);
        logger.log(logEvents.peerLost, { peerId, reason });
    };

    const linkOptions = (onClosed: () => void): PeerLinkOptions => ({
        ownId: options.ownId,
        timers,
        heldVersion: configuration.version,
        onBytes: options.onBytes,
        onMessage: receive,
        onInvalidMessage: reason => logger.log(logEvents.peerMessageRejected, { reason }),
        onHandshake: (link, peerId) => {
            if (peerId === options.ownId || links.has(peerId)) {
                link.close();
                return;
            }
            links.set(peerId, link);
            lastLoad = "";
            logger.log(logEvents.peerConnected, { peerId });
        },
        onClosed: (link, reason) => {
            forget(link, reason);
            onClosed();
        },
    });

    const open = (dial: Dial): void => {
        dial.isOpen = true;
        const closed = (): void => {
            dial.isOpen = false;
            dial.dueMs = timers.nowMs() + dial.delayMs;
            dial.delayMs = Math.min(dial.delayMs * 2, longestRedialDelayMs);
        };
        const socket = new WebSocket(`ws://${dial.address}/peer`, {
            headers: { authorization: `Bearer ${options.peerKey}` },
            handshakeTimeout: handshakeTimeoutMs,
            maxPayload: maximumFrameBytes,
            perMessageDeflate: false,
        });
        socket.on("error", () => undefined);
        socket.once("open", () => {
            dial.delayMs = firstRedialDelayMs;
            socket.removeListener("close", closed);
            createPeerLink(socket, linkOptions(closed));
        });
        socket.once("close", closed);
    };

    const addDial = (address: string): void => {
        if (!dials.has(address)) {
            dials.set(address, { address, isOpen: false, delayMs: firstRedialDelayMs, dueMs: 0 });
        }
    };

    const tellLoad = (nowMs: number): void => {
        if (nowMs - lastLoadMs < loadIntervalMs * (links.size / peersAtFullRate)) {
            return;
        }
        const serverCounts = Object.fromEntries(
            servers.all().filter(each => each.localCount > 0).map(each => [each.serverId, each.localCount]),
        );
        const load: PeerPayload = { type: "load", heldVersion: configuration.version(), serverCounts, teamUsageMs: usage.localUsageMs() };
        const text = JSON.stringify([load.heldVersion, serverCounts]);
        if (text === lastLoad && nowMs - lastLoadMs < heartbeatIntervalMs) {
            return;
        }
        lastLoad = text;
        lastLoadMs = nowMs;
        links.forEach(link => link.send(load));
    };

    options.seeds.forEach(addDial);
    timers.every(loadIntervalMs, options.signal, nowMs => {
        tellLoad(nowMs);
        dials.forEach(dial => {
            if (!dial.isOpen && nowMs >= dial.dueMs) {
                open(dial);
            }
        });
    });
    options.signal.addEventListener("abort", () => links.forEach(link => link.close()), { once: true });

    return {
        setMembers: members => {
            // One link serves both sides: the side with the lower id dials.
            const addresses = members.filter(member => options.ownId < member.memberId).map(member => member.peerAddress);
            addresses.forEach(addDial);
            [...dials.keys()].filter(address => !addresses.includes(address) && !options.seeds.includes(address)).forEach(address =>
                dials.delete(address)
            );
        },
        requestConfiguration: () => links.forEach(askForConfiguration),
        connectedPeerIds: () => [...links.keys()].sort(),
        acceptUpgrade: (request, socket, head) => {
            const presented = String(request.headers.authorization ?? "").replace(/^Bearer /, "");
            if (!areSecretsEqual(presented, options.peerKey)) {
                socket.end("HTTP/1.1 401 Unauthorized\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
                return;
            }
            server.handleUpgrade(request, socket, head, webSocket => createPeerLink(webSocket, linkOptions(() => undefined)));
        },
    };
}
