/** Messages of the etcd v3 JSON gateway: keys and values are in base64, 64-bit integers are strings. */
import * as z from "zod";
import type { StoredValue } from "./platformStore.js";

const int64 = z.union([z.string(), z.number()]).transform(Number);

const keyValue = z.object({ key: z.string(), value: z.string().default(""), mod_revision: int64.default(0) });
const header = z.object({ revision: int64.default(0) });
const rangePart = z.object({ kvs: z.array(keyValue).default([]) });
export const rangeResponse = rangePart.extend({ header });
export const txnResponse = z.object({
    header,
    succeeded: z.boolean().default(false),
    responses: z.array(z.object({ response_range: rangePart.optional() })).default([]),
});
export const leaseGrantResponse = z.object({ ID: z.string() });
export const leaseKeepAliveResponse = z.object({ result: z.object({ TTL: int64.default(0) }) });
export const emptyResponse = z.object({});
export const watchResponse = z.object({
    result: z.object({
        created: z.boolean().optional(),
        canceled: z.boolean().optional(),
        events: z.array(z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: keyValue })).default([]),
    }),
});

/** Encodes a key or value. */
export function encodeText(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

/** Decodes a key or value. */
export function decodeText(text: string): string {
    return Buffer.from(text, "base64").toString("utf8");
}

/** Returns the exclusive end of the range of all keys with `prefix`: the prefix with its last byte incremented. */
export function encodePrefixEnd(prefix: string): string {
    const bytes = Buffer.from(prefix, "utf8");
    bytes[bytes.length - 1]! += 1;
    return bytes.toString("base64");
}

/** Converts a key-value pair of a response into a stored value. */
export function toStoredValue(pair: z.infer<typeof keyValue>): StoredValue {
    return { key: decodeText(pair.key), value: decodeText(pair.value), revision: pair.mod_revision };
}
