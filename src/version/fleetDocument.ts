/** The operators' configuration: one base for all sites and one overlay per availability zone. */
import { z } from "zod";

/** Longest name of a team, pool, service, server or request kind, in characters. */
const longestNameChars = 64;
const name = z.string().max(longestNameChars).regex(/^[a-z0-9][a-z0-9._-]*$/, "lower-case letters, digits, '.', '_' and '-'");
const count = z.int().min(0).max(1_000_000);
const positiveCount = z.int().min(1).max(1_000_000);
const durationMs = z.int().min(1).max(86_400_000);
const ipPort = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, "an address as ip:port");

export const priorities = { urgent: "urgent", patient: "patient" } as const;
export type Priority = (typeof priorities)[keyof typeof priorities];

const requestKind = z.strictObject({
    /** Worth of one served request to its users; only ratios matter. */
    worth: z.number().positive(),
    priority: z.enum(priorities),
    /** Whether a request may run more than once; absent: by its method (RFC 9110). */
    isRepeatable: z.boolean().optional(),
    /** Slot time that a request is expected to need. */
    expectedRunMs: durationMs,
});

const service = z.strictObject({
    pool: name,
    /** Whether callers need no key. */
    isOpen: z.boolean().default(false),
    /** A request that has had no answer for this long is given up, its outcome unknown. */
    requestTimeoutMs: durationMs,
    /** No request runs for longer: an unknown one holds its slot until then. */
    longestRunMs: durationMs,
    /** Requests that may wait in a gateway. */
    queueCapacityCount: positiveCount,
    /** Whether the backend servers repeat the request id in `x-request-id`. */
    echoesRequestId: z.boolean().default(false),
    requestKinds: z.record(name, requestKind),
});

const pool = z.strictObject({
    isSpare: z.boolean().default(false),
    availabilityBudget: z.strictObject({
        /** Backend servers that must stay available. */
        minimumAvailableCount: count,
        /** Backend servers that may be drained or rebooted at the same time. */
        maximumDisruptedCount: positiveCount,
    }),
});

const team = z.strictObject({
    /** Part of the fleet that the team gets when everything is full, as a weight against the other teams'. */
    shareWeight: z.number().positive(),
    /** Requests that the team may have running in the whole fleet. */
    limitSlots: positiveCount,
});

const backendServer = z.strictObject({
    pool: name,
    /** Filled in from the overlay that names the server. */
    availabilityZone: name.optional(),
    rack: name,
    /** VM that the server runs on, as the platform's VM list names it. */
    vmId: name,
    address: ipPort,
    slotsCount: positiveCount,
    connectionsCount: positiveCount,
});

/** The whole configuration of one availability zone, after the overlay. */
export const siteConfiguration = z.strictObject({
    formatVersion: z.literal(1),
    pools: z.record(name, pool),
    services: z.record(name, service),
    teams: z.record(name, team),
    backendServers: z.record(name, backendServer).default({}),
});

export type SiteConfiguration = z.infer<typeof siteConfiguration>;
export type ServiceConfiguration = z.infer<typeof service>;
export type RequestKindConfiguration = z.infer<typeof requestKind>;
export type BackendServerConfiguration = z.infer<typeof backendServer> & { availabilityZone: string };

/** A plain tree of values, as YAML and JSON give it. */
export type PlainObject = { [key: string]: unknown };

/** Whether a value has named fields. */
export function isPlainObject(value: unknown): value is PlainObject {
    return typeof value === "object" && !!value && !Array.isArray(value);
}

/** Name of the base in findings; overlays are named by their zone. */
export const baseSource = "base";

/** The configuration as operators write it. */
export interface FleetDocument {
    base: PlainObject;
    /** Overlay per availability zone; each states only what differs from the base. */
    overlays: Record<string, PlainObject>;
}

/** The shape of a fleet document at a boundary; its trees are checked by `resolveFleet`. */
export const fleetDocument = z.strictObject({
    base: z.record(z.string(), z.unknown()),
    overlays: z.record(name, z.record(z.string(), z.unknown())),
});
