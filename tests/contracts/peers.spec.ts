/**
 * The peer listener withstands unauthorized connections, message floods and malformed messages, and round-trips valid
 * messages. Uses real processes.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { after, before, describe, it } from "node:test";
import { WebSocket } from "ws";
import { callService, openCallerPool } from "../../harness/callService.js";
import { type Fleet, peerKey, startFleet } from "../../harness/fleet.js";
import { atMostOnceService, makeSmallFleet } from "../../harness/smallFleet.js";
import {
    decodePeerMessage,
    encodePeerMessage,
    maximumFrameBytes,
    type PeerMessage,
    peerProtocolVersion,
} from "../../src/connection/peerMessages.js";

const addressPrefix = "127.48";
const limits = { vik: 16, selfoss: 16 };
const floodCount = 20_000;

describe("peer listener", () => {
    let fleet: Fleet;
    let key: string;

    before(async () => {
        const document = makeSmallFleet({ addressPrefix, zones: ["az-1"], serversPerZone: 1, slotsPerServer: 16, limits });
        fleet = await startFleet({ document, addressPrefix, gatewaysPerZone: 1 });
        key = (await fleet.createKey("vik")).key;
    });
    after(() => fleet.stop());

    const openPeerSocket = (presentedKey: string): WebSocket => {
        const socket = new WebSocket(`ws://${addressPrefix}.1.11:7003/peer`, { headers: { authorization: `Bearer ${presentedKey}` } });
        socket.on("error", () => undefined);
        return socket;
    };
    const makeHello = (protocolVersion: number): Buffer =>
        encodePeerMessage({ type: "hello", protocolVersion, memberId: "stranger", heldVersion: 0 });
    const assertServes = async (): Promise<void> => {
        const caller = openCallerPool(fleet.gateways[0]!.callerAddress);
        const answer = await callService(caller, { service: atMostOnceService, kind: "default", token: "still-serving", key });
        assert.equal(answer.outcome, "done");
    };

    it("should reject a connection with a wrong peer key", async () => {
        const [error] = await once(openPeerSocket("a-key-that-is-not-theirs").removeAllListeners("error"), "error") as [Error];
        assert.match(error.message, /401/);
        await assertServes();
    });

    const frames: { title: string; frames: Buffer[] }[] = [
        { title: "bytes that are not a message", frames: Array.from({ length: 20 }, () => Buffer.from("\u00ffnonsense")) },
        { title: "a protocol version that is too new", frames: [makeHello(peerProtocolVersion + 1)] },
        { title: "an oversized frame", frames: [makeHello(peerProtocolVersion), Buffer.alloc(maximumFrameBytes + 1)] },
    ];
    frames.forEach(({ title, frames: sent }) => {
        it(`should close a connection that sends ${title}, and keep serving`, async () => {
            const socket = openPeerSocket(peerKey);
            await once(socket, "open");
            sent.forEach(frame => socket.send(frame));
            await once(socket, "close");
            await assertServes();
        });
    });

    it("should keep serving during a flood of messages", async () => {
        const socket = openPeerSocket(peerKey);
        await once(socket, "open");
        socket.send(makeHello(peerProtocolVersion));
        const load = encodePeerMessage({
            type: "load",
            heldVersion: 0,
            serverCounts: { "az-1-s1": 1, "unknown": 5 },
            teamUsageMs: { vik: 10 },
        });
        for (let count = 0; count < floodCount; count++) {
            socket.send(load);
        }
        await assertServes();
        socket.terminate();
    });

    const messages: PeerMessage[] = [
        { type: "hello", protocolVersion: 1, memberId: "m", heldVersion: 3 },
        { type: "load", heldVersion: 1, serverCounts: { s: 2 }, teamUsageMs: { t: 1.5 } },
        { type: "configurationRequest", epoch: 2 },
        { type: "configuration", epoch: 2, record: "{}" },
    ];
    messages.forEach(message => {
        it(`should round-trip a message of type '${message.type}'`, () => {
            assert.deepEqual(decodePeerMessage(encodePeerMessage(message)).unwrap(), message);
        });
    });

    it("should reject messages with invalid values", () => {
        const invalidMessages = [
            { type: "load", heldVersion: "1", serverCounts: {}, teamUsageMs: {} },
            { type: "load", heldVersion: 1, serverCounts: { s: -1 }, teamUsageMs: {} },
            { type: "later" },
            7,
        ];
        invalidMessages.forEach(message => assert.equal(decodePeerMessage(encodePeerMessage(message as PeerMessage)).err, true));
    });
});
