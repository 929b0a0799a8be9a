/** Settings of the processes: one table gives each setting its flag, its environment variable, its check and its text. */
import { z } from "zod";
import { type Finding, quoteValue } from "../common/findings.js";
import { Err, Ok, type Result } from "../common/results.js";

const ipPort = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, "an address as ip:port");
const name = z.string().regex(/^[a-z0-9][a-z0-9._-]*$/, "lower-case letters, digits, '.', '_' and '-'");
const durationMs = z.coerce.number().int().min(1).max(3_600_000);
/** Shortest secret that is accepted, in characters. */
const shortestSecretChars = 16;
const secret = z.string().min(shortestSecretChars);

/** One setting. */
export interface SettingDefinition {
    schema: z.ZodType;
    /** What it is, with its unit. */
    text: string;
    /** What it may be, for findings. */
    allowed: string;
    defaultValue?: string;
    isOptional?: boolean;
    isSecret?: boolean;
}

function define(schema: z.ZodType, allowed: string, text: string, extra: Partial<SettingDefinition> = {}): SettingDefinition {
    return { schema, allowed, text, ...extra };
}

const shared = {
    availabilityZone: define(name, "a zone name of the configuration", "Availability zone of this process."),
    vmId: define(name, "a VM id", "Id of this VM, as the platform's VM list names it."),
    storeAddress: define(ipPort, "ip:port", "Address of the platform's key-value service."),
    storeTimeoutMs: define(durationMs, "1 to 3600000", "Time after which a call of the key-value service has failed, in milliseconds.", {
        defaultValue: "1000",
    }),
    vmListAddress: define(ipPort, "ip:port", "Address of the platform's VM list.", { isOptional: true }),
    logLevel: define(z.enum(["debug", "info", "warn", "error"]), "debug, info, warn or error", "Least level of log lines.", {
        defaultValue: "info",
    }),
};

/** Settings of `nutmegjunction gateway`. */
export const gatewaySettings = {
    ...shared,
    callerAddress: define(ipPort, "ip:port", "Listens here for callers."),
    adminAddress: define(ipPort, "ip:port", "Listens here for operators."),
    peerAddress: define(ipPort, "ip:port", "Listens here for the other gateways."),
    operatorKey: define(secret, "at least 16 characters", "Key that operators present.", { isSecret: true }),
    peerKey: define(secret, "at least 16 characters", "Key that the gateways present to each other.", { isSecret: true }),
    peerSeeds: define(
        z.string().transform(text => text.split(",").filter(part => part !== "")).pipe(z.array(ipPort)),
        "ip:port, separated by commas",
        "Peer addresses that are asked for the configuration while the key-value service is down.",
        { isOptional: true },
    ),
    stopNoticeMs: define(
        z.coerce.number().int().min(0).max(600_000),
        "0 to 600000",
        "Time that a stopping gateway still accepts requests, so that the balancer sees that it is not ready, in milliseconds.",
        { defaultValue: "5000" },
    ),
    drainTimeoutMs: define(durationMs, "1 to 3600000", "Longest time that a stopping gateway waits for its requests, in milliseconds.", {
        defaultValue: "60000",
    }),
};

/** Settings of `nutmegjunction steward`. */
export const stewardSettings = {
    ...shared,
    adminAddress: define(ipPort, "ip:port", "Listens here for health checks and metrics."),
    dutyLeaseS: define(z.coerce.number().int().min(1).max(300), "1 to 300", "Duration of a duty's lease, in seconds.", {
        defaultValue: "5",
    }),
};

/** Settings of the operators' commands. */
export const operatorSettings = {
    adminAddress: define(ipPort, "ip:port", "Address of a gateway's listener for operators."),
    operatorKey: define(secret, "at least 16 characters", "Key that operators present.", { isSecret: true }),
};

export type SettingTable = Record<string, SettingDefinition>;
export type GatewaySettings = SharedSettings & {
    callerAddress: string;
    adminAddress: string;
    peerAddress: string;
    operatorKey: string;
    peerKey: string;
    peerSeeds: string[] | undefined;
    stopNoticeMs: number;
    drainTimeoutMs: number;
};
export type OperatorSettings = { adminAddress: string; operatorKey: string };
export type StewardSettings = SharedSettings & { adminAddress: string; dutyLeaseS: number };
export interface SharedSettings {
    availabilityZone: string;
    vmId: string;
    storeAddress: string;
    storeTimeoutMs: number;
    vmListAddress: string | undefined;
    logLevel: "debug" | "info" | "warn" | "error";
}

/** Name of a setting's flag. */
export function flagName(setting: string): string {
    return `--${setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/** Name of a setting's environment variable. */
export function environmentName(setting: string): string {
    return `NUTMEGJUNCTION_${setting.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase()}`;
}

type Flags = Record<string, unknown>;
type Environment = Record<string, string | undefined>;

interface RawSetting {
    value: unknown;
    source: string;
}

function readRaw(setting: string, definition: SettingDefinition, flags: Flags, environment: Environment): RawSetting {
    if (flags[setting] !== undefined) {
        return { value: String(flags[setting]), source: "flag" };
    }
    const fromEnvironment = environment[environmentName(setting)];
    return fromEnvironment === undefined ?
        { value: definition.defaultValue, source: "flag" } :
        { value: fromEnvironment, source: "environment" };
}

/** Unknown flags and variables; a variable of another process's setting is known, since one VM runs several. */
function findUnknown(table: SettingTable, flags: Flags, environment: Environment): Finding[] {
    const known = new Set([gatewaySettings, stewardSettings, operatorSettings].flatMap(each => Object.keys(each)).map(environmentName));
    const variables = Object.keys(environment).filter(variable => variable.startsWith("NUTMEGJUNCTION_") && !known.has(variable));
    const unknownFlags = Object.keys(flags).filter(flag => !(flag in table));
    return [
        ...variables.map(path => ({
            source: "environment",
            path,
            found: quoteValue(environment[path]),
            allowed: "no such setting; check its spelling",
        })),
        ...unknownFlags.map(flag => ({
            source: "flag",
            path: flagName(flag),
            found: quoteValue(flags[flag]),
            allowed: "no such setting; check its spelling",
        })),
    ];
}

/** Reads all settings of a table; a flag goes before the environment. Returns all findings together. */
export function readSettings<T>(table: SettingTable, flags: Flags, environment: Environment): Result<T, Finding[]> {
    const values: Record<string, unknown> = {};
    const findings = findUnknown(table, flags, environment);
    Object.entries(table).forEach(([setting, definition]) => {
        const raw = readRaw(setting, definition, flags, environment);
        if (raw.value === undefined && definition.isOptional) {
            return;
        }
        const parsed = definition.schema.safeParse(raw.value);
        if (parsed.success && raw.value !== undefined) {
            values[setting] = parsed.data;
            return;
        }
        const path = raw.source === "flag" ? flagName(setting) : environmentName(setting);
        const found = definition.isSecret && raw.value !== undefined ? "a secret that does not fit" : quoteValue(raw.value);
        findings.push({
            source: raw.source,
            path,
            found,
            allowed: `${definition.allowed} (${flagName(setting)} or ${environmentName(setting)})`,
        });
    });
    return findings.length > 0 ? Err(findings) : Ok(values as T);
}
