/** The listener for peers: a stranger, a flood, or messages that cannot be understood harm nothing. Real processes. */
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

describe("the listener for peers", () => {
    let fleet: Fleet;
    let key: string;

    before(async () => {
        const document = makeSmallFleet({ addressPrefix, zones: ["az-1"], serversPerZone: 1, slotsPerServer: 16, limits });
        fleet = await startFleet({ document, addressPrefix, gatewaysPerZone: 1 });
        key = (await fleet.createKey("vik")).key;
    });
    after(() => fleet.stop());

    const dial = (presentedKey: string): WebSocket => {
        const socket = new WebSocket(`ws://${addressPrefix}.1.11:7003/peer`, { headers: { authorization: `Bearer ${presentedKey}` } });
        socket.on("error", () => undefined);
        return socket;
    };
    const greeting = (protocolVersion: number): Buffer =>
        encodePeerMessage({ type: "hello", protocolVersion, memberId: "stranger", heldVersion: 0 });
    const assertServes = async (): Promise<void> => {
        const caller = openCallerPool(fleet.gateways[0]!.callerAddress);
        const answer = await callService(caller, { service: atMostOnceService, kind: "default", token: "still-serving", key });
        assert.equal(answer.outcome, "done");
    };

    it("should refuse a connection without the peers' key", async () => {
        const [error] = await once(dial("a-key-that-is-not-theirs").removeAllListeners("error"), "error") as [Error];
        assert.match(error.message, /401/);
        await assertServes();
    });

    const frames: { title: string; frames: Buffer[] }[] = [
        { title: "bytes that are no message", frames: Array.from({ length: 20 }, () => Buffer.from("\u00ffnonsense")) },
        { title: "a protocol version that is too new", frames: [greeting(peerProtocolVersion + 1)] },
        { title: "a frame that is too long", frames: [greeting(peerProtocolVersion), Buffer.alloc(maximumFrameBytes + 1)] },
    ];
    frames.forEach(({ title, frames: sent }) => {
        it(`should close a link that sends ${title}, and serve on`, async () => {
            const socket = dial(peerKey);
            await once(socket, "open");
            sent.forEach(frame => socket.send(frame));
            await once(socket, "close");
            await assertServes();
        });
    });

    it("should take a flood of messages and serve on", async () => {
        const socket = dial(peerKey);
        await once(socket, "open");
        socket.send(greeting(peerProtocolVersion));
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
        it(`should read back a message of the type '${message.type}' as it was written`, () => {
            assert.deepEqual(decodePeerMessage(encodePeerMessage(message)).unwrap(), message);
        });
    });

    it("should refuse messages with values that cannot be", () => {
        const bad = [
            { type: "load", heldVersion: "1", serverCounts: {}, teamUsageMs: {} },
            { type: "load", heldVersion: 1, serverCounts: { s: -1 }, teamUsageMs: {} },
            { type: "later" },
            7,
        ];
        bad.forEach(message => assert.equal(decodePeerMessage(encodePeerMessage(message as PeerMessage)).err, true));
    });
});
