/** Messages of other processes are decoded in memory that is bounded by their size, and valid ones are decoded as they were encoded. */
import fc from "fast-check";
import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { unpackBounded } from "../../src/connection/boundedUnpack.js";
import { decodeRelayRequest, encodeRelayMessage, type RelayRequest } from "../../src/connection/callRelayMessages.js";
import { decodePeerMessage, encodePeerMessage, type PeerMessage } from "../../src/connection/peerMessages.js";

const maxValues = 1_000;
const longText = "x".repeat(70_000);

describe("the decoder of messages from other processes", () => {
    it("should decode what was encoded", () => {
        const value = fc.jsonValue({ maxDepth: 5 });
        const seed = 65;
        fc.assert(
            fc.property(value, original => {
                const frame = pack(original);
                assert.deepEqual(unpackBounded(frame, frame.length), original);
            }),
            { seed },
        );
    });

    it("should decode numbers, texts, bytes and containers of each length", () => {
        const original = {
            numbers: [0, 127, 128, 255, 256, 65_535, 65_536, 2 ** 32, 2 ** 40, -1, -32, -33, -129, -32_769, -(2 ** 31), 0.5, 1e300],
            texts: ["", "x".repeat(31), "x".repeat(32), "x".repeat(300), longText, "\u00e9\u6c34"],
            bytes: [Buffer.alloc(3), Buffer.alloc(300), Buffer.alloc(70_000)],
            lists: [[], Array.from({ length: 20 }, () => false), Array.from({ length: 70_000 }, () => true)],
            map: Object.fromEntries(Array.from({ length: 60_000 }, (_, index) => [`key-${index}`, index])),
            absent: undefined,
        };
        const frame = pack(original);
        assert.deepEqual(unpackBounded(frame, frame.length), original);
    });

    it("should decode the largest messages that processes send", () => {
        const writes = Array.from({ length: 500 }, (_, index) => ({ key: `key-${index}`, value: "x".repeat(2_000), leaseId: index }));
        const request: RelayRequest = { callId: 1, method: "POST", path: "/", body: { writes, deletes: [] }, timeoutMs: 1_000 };
        assert.deepEqual(decodeRelayRequest(encodeRelayMessage(request)).unwrap(), request);
        const counts = Object.fromEntries(Array.from({ length: 20_000 }, (_, index) => [`az-1-s${index}`, index]));
        const load: PeerMessage = { type: "load", heldVersion: 1, serverCounts: counts, teamUsageMs: counts };
        assert.deepEqual(decodePeerMessage(encodePeerMessage(load)).unwrap(), load);
    });

    const invalid: { title: string; frame: Buffer }[] = [
        { title: "an array that announces more than follows", frame: Buffer.from([0xdd, 0x01, 0xc9, 0xc3, 0x80]) },
        { title: "a map that announces more than follows", frame: Buffer.from([0xdf, 0x01, 0xc9, 0xc3, 0x80, 0x01, 0x01]) },
        { title: "nested arrays that announce the same bytes", frame: Buffer.from([0x92, 0x92, 0x92, 0x01, 0x01]) },
        { title: "a text that announces more than follows", frame: Buffer.from([0xdb, 0x7f, 0xff, 0xff, 0xff, 0x41]) },
        { title: "a length that is cut off", frame: Buffer.from([0xdc, 0x01]) },
        { title: "an extension", frame: Buffer.from([0xd4, 0x72, 0x40, 0x91, 0xa1, 0x61, 0x01]) },
        { title: "no value", frame: Buffer.alloc(0) },
        { title: "too many values", frame: pack(Array.from({ length: maxValues }, () => 1)) },
    ];
    invalid.forEach(({ title, frame }) => {
        it(`should reject ${title}`, () => assert.throws(() => unpackBounded(frame, maxValues), /announced|values|valid value/));
    });
});
