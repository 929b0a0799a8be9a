/** Messages with which a process asks another one to make a call, encoded as MessagePack in WebSocket frames. */
import { pack } from "msgpackr";
import * as z from "zod";
import { Err, Ok, type Result } from "../common/results.js";
import { unpackBounded } from "./boundedUnpack.js";

/** Maximum size of an accepted frame: one value of the store as text, and its envelope. */
export const maximumRelayFrameBytes = 2_000_000;
const maximumTimeoutMs = 10_000;
/** A transaction has some ten values for each of its writes. */
const maximumRequestValues = 100_000;

const relayRequest = z.object({
    callId: z.number().int(),
    method: z.enum(["GET", "POST", "DELETE"]),
    path: z.string().max(2_000),
    body: z.unknown(),
    timeoutMs: z.number().positive().max(maximumTimeoutMs),
    transferTimeoutMs: z.number().nonnegative().max(maximumTimeoutMs).optional(),
});
const relayResponse = z.object({
    callId: z.number().int(),
    result: z.discriminatedUnion("hasResponse", [
        z.object({
            hasResponse: z.literal(true),
            response: z.object({ status: z.number().int(), body: z.record(z.string(), z.unknown()) }),
        }),
        z.object({ hasResponse: z.literal(false), failure: z.object({ reason: z.string(), wasNeverSent: z.boolean() }) }),
    ]),
});
export type RelayRequest = z.infer<typeof relayRequest>;
export type RelayResponse = z.infer<typeof relayResponse>;

export function encodeRelayMessage(message: RelayRequest | RelayResponse): Buffer {
    return pack(message);
}

function decodeFrame<Message>(frame: Buffer, schema: z.ZodType<Message>, maximumValues: number): Result<Message, string> {
    try {
        return Ok(schema.parse(unpackBounded(frame, maximumValues)));
    }
    catch (error) {
        return Err(String(error).slice(0, 200));
    }
}
export const decodeRelayRequest = (frame: Buffer): Result<RelayRequest, string> => decodeFrame(frame, relayRequest, maximumRequestValues);
export const decodeRelayResponse = (frame: Buffer): Result<RelayResponse, string> =>
    decodeFrame(frame, relayResponse, maximumRelayFrameBytes);
