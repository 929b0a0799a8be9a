/** API keys of teams, in the format `nj_<key id>_<secret>`; only a hash of the secret is stored. */
import { hash, randomBytes, timingSafeEqual } from "node:crypto";
import type { KeyRecord } from "./fleetVersion.js";

const keyIdBytes = 6;
const secretBytes = 24;
const keyPattern = /^nj_([0-9a-f]+)_([0-9a-f]+)$/;

/** Hashes a secret. Secrets are random, so a plain hash without salt or stretching is sufficient. */
export function hashSecret(secret: string): string {
    return hash("sha256", secret, "base64url");
}

/** Compares two hashes in constant time. */
function areHashesEqual(left: string, right: string): boolean {
    return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

/** Compares two secrets of any length in constant time. */
export function areSecretsEqual(left: string, right: string): boolean {
    return areHashesEqual(hashSecret(left), hashSecret(right));
}

/** Generates a key for a team. The key itself is shown once and not stored. */
export function generateKey(team: string): { key: string; record: KeyRecord } {
    const keyId = randomBytes(keyIdBytes).toString("hex");
    const secret = randomBytes(secretBytes).toString("hex");
    return { key: `nj_${keyId}_${secret}`, record: { keyId, team, secretHash: hashSecret(secret) } };
}

/** Returns the record of a presented key, or `undefined` if the key is unknown or withdrawn. */
export function findKey(keysById: ReadonlyMap<string, KeyRecord>, presented: string): KeyRecord | undefined {
    const match = keyPattern.exec(presented);
    const record = match ? keysById.get(match[1]!) : undefined;
    return record && areHashesEqual(hashSecret(match![2]!), record.secretHash) ? record : undefined;
}
