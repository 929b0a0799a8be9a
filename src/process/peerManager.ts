/** Connects the gateways of this zone: they exchange load reports, and configuration versions when the store is unavailable. */
import type http from "node:http";
import type net from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import type { TimerService } from "../common/timerService.js";
import type { MemberRecord } from "../connection/members.js";
import { limitPartialMessages } from "../connection/partialMessages.js";
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
    /** Sets the other gateways of the zone; connects to those that this side has to dial. */
    setMembers(members: readonly MemberRecord[]): void;
    /** Requests the current configuration from all peers. */
    requestConfiguration(): void;
    connectedPeerIds(): string[];
    /** Handles a WebSocket upgrade request of the peer listener. */
    acceptUpgrade(request: http.IncomingMessage, socket: net.Socket, head: Buffer): void;
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
    /** A peer was disconnected since too much of large messages is being received. */
    onPartialBytesExceeded(): void;
}

const loadIntervalMs = 100;
/** With more peers than this, load is reported less often, so that the traffic per gateway stays bounded as the zone grows. */
const maximumPeersAtFullRate = 8;
/** An unchanged load is reported only at this interval, as a heartbeat. */
const heartbeatIntervalMs = 500;
const minimumReconnectDelayMs = 200;
const maximumReconnectDelayMs = 5_000;
const handshakeTimeoutMs = 2_000;
/** Bytes of all messages that have not arrived whole: a few configurations, and load reports of all peers. */
const maxPartialBytes = 8_000_000;

interface PeerEndpoint {
    address: string;
    isOpen: boolean;
    delayMs: number;
    dueMs: number;
}

export function createPeerManager(options: PeerManagerOptions): PeerManager {
    const { timers, logger, configuration, servers, usage } = options;
    const links = new Map<string, PeerLink>();
    const endpoints = new Map<string, PeerEndpoint>();
    const server = new WebSocketServer({ noServer: true, maxPayload: maximumFrameBytes });
    const partialMessages = limitPartialMessages({
        maxBytes: maxPartialBytes,
        maxMessageBytes: maximumFrameBytes,
        usedBytes: () => 0,
        onExceeded: options.onPartialBytesExceeded,
        nowMs: timers.nowMs,
    });
    let lastLoad = "";
    let lastLoadMs = -Infinity;

    const receive = (link: PeerLink, message: PeerPayload): void => {
        const peerId = link.peerId()!;
        switch (message.type) {
            case "load":
                servers.setPeerCounts(peerId, new Map(Object.entries(message.serverCounts)));
                usage.setPeerUsage(peerId, new Map(Object.entries(message.teamUsageMs)));
                if (message.heldVersion > configuration.version()) {
                    sendConfigurationRequest(link);
                }
                return;
            case "configurationRequest":
                sendConfiguration(link, message.epoch);
                return;
            case "configuration":
                receiveConfiguration(peerId, message.record, message.epoch);
        }
    };

    const sendConfigurationRequest = (link: PeerLink): void => link.send({ type: "configurationRequest", epoch: configuration.epoch() });

    const sendConfiguration = (link: PeerLink, epoch: number): void => {
        const held = configuration.current();
        if (held) {
            link.send({ type: "configuration", epoch, record: JSON.stringify(held.record) });
        }
    };

    const receiveConfiguration = (peerId: string, record: string, epoch: number): void => {
        const parsed = parseVersion(record);
        if (parsed.err) {
            logger.log(logEvents.configurationRejected, { source: peerId, reason: parsed.val });
            return;
        }
        configuration.applyIfNewer(parsed.val, `peer ${peerId}`, epoch);
    };

    const removeLink = (link: PeerLink, reason: string): void => {
        const peerId = link.peerId();
        if (peerId === undefined || links.get(peerId) !== link) {
            return;
        }
        links.delete(peerId);
        // The last report of a lost peer is dropped; otherwise it would occupy slots of the servers forever.
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
            removeLink(link, reason);
            onClosed();
        },
    });

    const connect = (endpoint: PeerEndpoint): void => {
        endpoint.isOpen = true;
        const closed = (): void => {
            endpoint.isOpen = false;
            endpoint.dueMs = timers.nowMs() + endpoint.delayMs;
            endpoint.delayMs = Math.min(endpoint.delayMs * 2, maximumReconnectDelayMs);
        };
        const socket = new WebSocket(`ws://${endpoint.address}/peer`, {
            headers: { authorization: `Bearer ${options.peerKey}` },
            handshakeTimeout: handshakeTimeoutMs,
            maxPayload: maximumFrameBytes,
            perMessageDeflate: false,
        });
        socket.on("error", () => undefined);
        socket.once("open", () => {
            endpoint.delayMs = minimumReconnectDelayMs;
            socket.removeListener("close", closed);
            createPeerLink(socket, linkOptions(closed));
        });
        socket.once("close", closed);
    };

    const addEndpoint = (address: string): void => {
        if (!endpoints.has(address)) {
            endpoints.set(address, { address, isOpen: false, delayMs: minimumReconnectDelayMs, dueMs: 0 });
        }
    };

    const reportLoad = (nowMs: number): void => {
        if (nowMs - lastLoadMs < loadIntervalMs * (links.size / maximumPeersAtFullRate)) {
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

    options.seeds.forEach(addEndpoint);
    timers.every(loadIntervalMs, options.signal, nowMs => {
        reportLoad(nowMs);
        endpoints.forEach(endpoint => {
            if (!endpoint.isOpen && nowMs >= endpoint.dueMs) {
                connect(endpoint);
            }
        });
    });
    options.signal.addEventListener("abort", () => links.forEach(link => link.close()), { once: true });

    return {
        setMembers: members => {
            // A pair of gateways shares one connection; the one with the lower id dials.
            const addresses = members.filter(member => options.ownId < member.memberId).map(member => member.peerAddress);
            addresses.forEach(addEndpoint);
            [...endpoints.keys()].filter(address => !addresses.includes(address) && !options.seeds.includes(address)).forEach(address =>
                endpoints.delete(address)
            );
        },
        requestConfiguration: () => links.forEach(sendConfigurationRequest),
        connectedPeerIds: () => [...links.keys()].sort(),
        acceptUpgrade: (request, socket, head) => {
            const presented = String(request.headers.authorization ?? "").replace(/^Bearer /, "");
            if (!areSecretsEqual(presented, options.peerKey)) {
                socket.end("HTTP/1.1 401 Unauthorized\r\ncontent-length: 0\r\nconnection: close\r\n\r\n", () => socket.destroy());
                return;
            }
            server.handleUpgrade(request, socket, head, webSocket => {
                partialMessages.watch(socket, webSocket);
                createPeerLink(webSocket, linkOptions(() => undefined));
            });
        },
    };
}
