/** Messages between the gateways of one zone, as msgpack in WebSocket frames. */
import { pack, unpack } from "msgpackr";
import { z } from "zod";
import { Err, Ok, type Result } from "../common/results.js";

/** Version of this protocol; a peer of another one is told and left alone. */
export const peerProtocolVersion = 1;
/** Longest frame that is accepted, in bytes: a configuration of a megabyte and its envelope. */
export const maximumFrameBytes = 1_200_000;

const largestMapSize = 20_000;
const counts = z.record(z.string(), z.number().nonnegative()).refine(map => Object.keys(map).length <= largestMapSize);

const peerMessage = z.discriminatedUnion("type", [
    /** First message of each side. */
    z.object({ type: z.literal("hello"), protocolVersion: z.number(), memberId: z.string().max(64), heldVersion: z.number() }),
    /** What the sender has running, and what its teams used lately; also the heartbeat. */
    z.object({
        type: z.literal("load"),
        heldVersion: z.number(),
        /** Requests at each backend server. */
        serverCounts: counts,
        /** Slot time used lately by each team, in milliseconds. */
        teamUsageMs: counts,
    }),
    /** Asks for the configuration that the other side holds; the answer repeats `epoch`. */
    z.object({ type: z.literal("configurationRequest"), epoch: z.number() }),
    /** The configuration that the sender holds, as JSON. */
    z.object({ type: z.literal("configuration"), epoch: z.number(), record: z.string() }),
]);
export type PeerMessage = z.infer<typeof peerMessage>;

/** Encodes a message. */
export function encodePeerMessage(message: PeerMessage): Buffer {
    return pack(message);
}

/** Decodes and checks a frame. */
export function decodePeerMessage(frame: Buffer): Result<PeerMessage, string> {
    try {
        return Ok(peerMessage.parse(unpack(frame)));
    }
    catch (error) {
        return Err(error instanceof Error ? error.message.slice(0, 200) : String(error));
    }
}
