/** Schema of the operators' configuration: a base for all sites and one overlay per availability zone. */
import * as z from "zod";
import { ipPortAddress as ipPort } from "../common/ipPortAddress.js";

/** Maximum length of the name of a team, pool, service, server or request kind. */
const maximumNameChars = 64;
const name = z.string().max(maximumNameChars).regex(/^[a-z0-9][a-z0-9._-]*$/, "lower-case letters, digits, '.', '_' and '-'");
const count = z.int().min(0).max(1_000_000);
const positiveCount = z.int().min(1).max(1_000_000);
const durationMs = z.int().min(1).max(86_400_000);

export const priorities = { urgent: "urgent", patient: "patient" } as const;
export type Priority = (typeof priorities)[keyof typeof priorities];

const requestKind = z.strictObject({
    /** Value of one completed request to its users; only the ratio to other kinds matters. */
    worth: z.number().positive(),
    priority: z.enum(priorities),
    /** Whether a request may run more than once; if absent, its method decides (RFC 9110). */
    isRepeatable: z.boolean().optional(),
    /** Expected slot time of a request. */
    expectedRunMs: durationMs,
});

const service = z.strictObject({
    pool: name,
    /** Whether callers may use the service without a key. */
    isOpen: z.boolean().default(false),
    /** A request without a response for this time is abandoned, and its outcome is unknown. */
    requestTimeoutMs: durationMs,
    /** Longest time that a request can run; a request with an unknown outcome occupies its slot until then. */
    longestRunMs: durationMs,
    /** Maximum number of requests that wait in a gateway. */
    queueCapacityCount: positiveCount,
    /** Whether the backend servers return the request id in `x-request-id`. */
    echoesRequestId: z.boolean().default(false),
    requestKinds: z.record(name, requestKind),
});

const pool = z.strictObject({
    isSpare: z.boolean().default(false),
    availabilityBudget: z.strictObject({
        /** Minimum number of backend servers that must stay available. */
        minimumAvailableCount: count,
        /** Maximum number of backend servers that are drained or rebooted at the same time. */
        maximumDisruptedCount: positiveCount,
    }),
});

const team = z.strictObject({
    /** Share of the fleet that the team gets under full load, as a weight relative to the other teams. */
    shareWeight: z.number().positive(),
    /** Maximum number of the team's requests in progress in the whole fleet. */
    limitSlots: positiveCount,
});

const backendServer = z.strictObject({
    pool: name,
    /** Filled in from the overlay that contains the server. */
    availabilityZone: name.optional(),
    rack: name,
    /** Id of the VM on which the server runs, as in the platform's VM list. */
    vmId: name,
    address: ipPort,
    slotsCount: positiveCount,
    connectionsCount: positiveCount,
});

/** The complete configuration of one availability zone, after its overlay is applied. */
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

/** An object as parsed from YAML or JSON. */
export type PlainObject = { [key: string]: unknown };

/** Whether a value is an object with named fields. */
export function isPlainObject(value: unknown): value is PlainObject {
    return typeof value === "object" && !!value && !Array.isArray(value);
}

/** Source of findings in the base; findings in an overlay have its zone as source. */
export const baseSource = "base";

/** The configuration as written by operators. */
export interface FleetDocument {
    base: PlainObject;
    /** Overlays by availability zone; each contains only values that differ from the base. */
    overlays: Record<string, PlainObject>;
}

/** Schema of a fleet document received from outside; `resolveFleet` validates the contents. */
export const fleetDocument = z.strictObject({
    base: z.record(z.string(), z.unknown()),
    overlays: z.record(name, z.record(z.string(), z.unknown())),
});
