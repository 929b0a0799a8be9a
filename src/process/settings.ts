/** Settings of the processes. One table defines the flag, environment variable, validation and description of each. */
import * as z from "zod";
import { type Finding, quoteValue } from "../common/findings.js";
import { ipPortAddress as ipPort } from "../common/ipPortAddress.js";
import { Err, Ok, type Result } from "../common/results.js";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]*$/, "lower-case letters, digits, '.', '_' and '-'");
const durationMs = z.coerce.number().int().min(1).max(3_600_000);
/** Minimum length of a secret, in characters. */
const minimumSecretChars = 16;
const secret = z.string().min(minimumSecretChars);

export interface SettingDefinition {
    schema: z.ZodType;
    /** Description of the setting, including its unit. */
    text: string;
    /** Description of the allowed values, for findings. */
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
    vmId: define(name, "a VM id", "Id of this VM in the platform's VM list."),
    storeAddress: define(ipPort, "ip:port", "Address of the platform's key-value service."),
    storeTimeoutMs: define(durationMs, "1 to 3600000", "Timeout of a call to the key-value service, in milliseconds.", {
        defaultValue: "1000",
    }),
    vmListAddress: define(ipPort, "ip:port", "Address of the platform's VM list.", { isOptional: true }),
    memoryLimitMb: define(
        z.coerce.number().int().min(64).max(1_048_576),
        "64 to 1048576",
        "Memory that the process may take, in megabytes. Its limits on connections and bodies follow from it.",
        { defaultValue: "1024" },
    ),
    maxDescriptors: define(
        z.coerce.number().int().min(300).max(1_048_576),
        "300 to 1048576",
        "Descriptors that the process may open: 200 are for files, and half of the others for connections that it accepts.",
        { defaultValue: "16384" },
    ),
    logLevel: define(
        z.enum(["debug", "info", "warn", "error"]),
        "debug, info, warn or error",
        "Minimum level of the log lines that are written.",
        {
            defaultValue: "info",
        },
    ),
};

/** Settings of `nutmegjunction gateway`. */
export const gatewaySettings = {
    ...shared,
    callerAddress: define(ipPort, "ip:port", "Address to listen on for callers."),
    adminAddress: define(ipPort, "ip:port", "Address to listen on for operators."),
    peerAddress: define(ipPort, "ip:port", "Address to listen on for the other gateways."),
    operatorKey: define(secret, "at least 16 characters", "Key that operators present.", { isSecret: true }),
    peerKey: define(secret, "at least 16 characters", "Key that the gateways present to each other.", { isSecret: true }),
    peerSeeds: define(
        z.string().transform(text => text.split(",").filter(part => part !== "")).pipe(z.array(ipPort)),
        "ip:port, separated by commas",
        "Peer addresses to request the configuration from while the key-value service is unavailable.",
        { isOptional: true },
    ),
    stopNoticeMs: define(
        z.coerce.number().int().min(0).max(600_000),
        "0 to 600000",
        "Time for which a stopping gateway still accepts requests, so that the load balancer sees that it is not ready, in milliseconds.",
        { defaultValue: "5000" },
    ),
    drainTimeoutMs: define(
        durationMs,
        "1 to 3600000",
        "Maximum time that a stopping gateway waits for its running requests, in milliseconds.",
        {
            defaultValue: "60000",
        },
    ),
};

/** Settings of `nutmegjunction steward`. */
export const stewardSettings = {
    ...shared,
    adminAddress: define(ipPort, "ip:port", "Address to listen on for health checks and metrics."),
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
    memoryLimitMb: number;
    maxDescriptors: number;
    logLevel: "debug" | "info" | "warn" | "error";
}

/** Returns the command-line flag of a setting. */
export function flagName(setting: string): string {
    return `--${setting.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/** Returns the environment variable of a setting. */
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

/** Finds unknown flags and variables. Variables of other processes' settings are accepted, since one VM runs several processes. */
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

/** Reads all settings of a table; a flag takes precedence over the environment. Reports all findings at once. */
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
        const found = definition.isSecret && raw.value !== undefined ? "an invalid secret" : quoteValue(raw.value);
        findings.push({
            source: raw.source,
            path,
            found,
            allowed: `${definition.allowed} (${flagName(setting)} or ${environmentName(setting)})`,
        });
    });
    return findings.length > 0 ? Err(findings) : Ok(values as T);
}
