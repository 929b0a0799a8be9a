/** Messages between the gateways of one zone, encoded as MessagePack in WebSocket frames. */
import { pack } from "msgpackr";
import * as z from "zod";
import { Err, Ok, type Result } from "../common/results.js";
import { unpackBounded } from "./boundedUnpack.js";

/** Version of the peer protocol; connections to peers with another version are closed. */
export const peerProtocolVersion = 1;
/** Maximum size of an accepted frame: a configuration of one megabyte and its envelope. */
export const maximumFrameBytes = 1_200_000;

const maximumMapSize = 20_000;
/** Two maps of that size, and the other fields. */
const maximumValues = 100_000;
const counts = z.record(z.string(), z.number().nonnegative()).refine(map => Object.keys(map).length <= maximumMapSize);

const peerMessage = z.discriminatedUnion("type", [
    /** First message in each direction. */
    z.object({ type: z.literal("hello"), protocolVersion: z.number(), memberId: z.string().max(64), heldVersion: z.number() }),
    /** The sender's requests in progress and the recent usage of its teams; also serves as the heartbeat. */
    z.object({
        type: z.literal("load"),
        heldVersion: z.number(),
        /** Requests in progress by backend server. */
        serverCounts: counts,
        /** Recently used slot time by team, in milliseconds. */
        teamUsageMs: counts,
    }),
    /** Requests the configuration that the receiver holds; the response repeats `epoch`. */
    z.object({ type: z.literal("configurationRequest"), epoch: z.number() }),
    /** The configuration that the sender holds, as JSON. */
    z.object({ type: z.literal("configuration"), epoch: z.number(), record: z.string() }),
]);
export type PeerMessage = z.infer<typeof peerMessage>;

/** Encodes a message. */
export function encodePeerMessage(message: PeerMessage): Buffer {
    return pack(message);
}

/** Decodes and validates a frame. */
export function decodePeerMessage(frame: Buffer): Result<PeerMessage, string> {
    try {
        return Ok(peerMessage.parse(unpackBounded(frame, maximumValues)));
    }
    catch (error) {
        return Err(error instanceof Error ? error.message.slice(0, 200) : String(error));
    }
}
