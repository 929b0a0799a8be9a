/** Generates docs/SETTINGS.md and docs/LOG-EVENTS.md with `--write`; otherwise checks that they are up to date. */
import { readFileSync, writeFileSync } from "node:fs";
import { maxPendingCalls, shares as platformShares } from "../platform/listeners.js";
import { limitListener, maxBodyBytesInFlight, maxHeldHeapBytes } from "../src/decisions/listenerLimits.js";
import { logEvents } from "../src/process/logEvents.js";
import {
    environmentName,
    flagName,
    gatewaySettings,
    operatorSettings,
    type SettingTable,
    stewardSettings,
} from "../src/process/settings.js";
import { schedulingFeatureNames } from "../src/scheduling/schedulingFeatures.js";

function settingRows(table: SettingTable): string[] {
    return Object.entries(table).map(([setting, definition]) => {
        const fallback = definition.defaultValue ?? (definition.isOptional ? "none" : "required");
        return `| \`${flagName(setting)}\` | \`${environmentName(setting)}\` | ${fallback} | ${definition.allowed} | ${definition.text} |`;
    });
}

function settingSection(title: string, table: SettingTable): string {
    const tableHeader = ["| Flag | Environment variable | Default | Allowed | Meaning |", "| --- | --- | --- | --- | --- |"];
    return [`## ${title}`, "", ...tableHeader, ...settingRows(table), ""].join("\n");
}

/** Resources of a small VM of the platform, for the examples. */
const exampleResources = { memoryMb: 250, maxDescriptors: 4_100, heapLimitBytes: 160 * 1_048_576 };

/** The limits that follow from the settings, and how to raise them. */
function limitSection(): string {
    const callers = limitListener(exampleResources, platformShares.callers, maxPendingCalls);
    const bodyMb = Math.floor(maxBodyBytesInFlight(exampleResources) / 1_048_576);
    const heapMbBeside = (liveBytes: number): number =>
        Math.floor(maxHeldHeapBytes({ heapLimitBytes: exampleResources.heapLimitBytes, liveBytes, heldBytes: 0 }) / 1_048_576);
    const rows = [
        [
            "connections of a listener",
            "memory and descriptors, by the listener's share",
            `${callers.maxConnections} of callers`,
            "503, or closed",
        ],
        [
            "heap that requests in progress hold (platform build)",
            "heap that the process leaves",
            `${heapMbBeside(exampleResources.heapLimitBytes)} to ${heapMbBeside(0)} MB`,
            "503, or closed",
        ],
        ["requests without a response, of one connection", "fixed", String(maxPendingCalls), "429, then closed"],
        ["bytes of all bodies received or handled", "memory and heap", `${bodyMb} MB`, "503, then closed"],
        ["time within a body without a byte", "the configuration's `idleTimeoutMs` and 5 s", "20 s", "408, then closed"],
        ["bodies in chunks of a few bytes at the same time", "fixed", "8", "503, or closed"],
        ["rate of a request that arrives for more than 4 s, while the listener is full", "fixed", "8 KiB/s", "closed"],
        ["time for which a client takes nothing of a response", "fixed", "20 s", "closed"],
        [
            "calls that a process makes for others, with large messages that have not arrived whole",
            "memory and heap",
            `${bodyMb} MB`,
            "not sent, or closed",
        ],
        ["results of such calls that the others have not taken", "memory and heap", `${bodyMb} MB`, "closed"],
        ["large messages of a gateway's peers that have not arrived whole", "fixed", "8 MB", "closed"],
        ["values in a message of another process", "fixed", "100,000", "closed"],
    ];
    return [
        "## Limits of the listeners",
        "",
        "They follow from `limits.memoryMb` and `limits.maxFds` (4,096 if absent) of the platform's settings file, or from",
        "`--memory-limit-mb` and `--max-descriptors`, and from the limit of the heap (`--max-old-space-size`). To raise one, raise these.",
        "The examples are those of 250 MB, 4,100 descriptors and a heap of 160 MB. Every answer says that nothing was run.",
        "",
        "| Limit | Follows from | Example | What a client beyond it gets |",
        "| --- | --- | --- | --- |",
        ...rows.map(row => `| ${row.join(" | ")} |`),
        "",
    ].join("\n");
}

const featureTexts: Record<keyof typeof schedulingFeatureNames, string> = {
    adaptivePools: "Sizes pools by a forecast of their demand; see design/adaptive-pools.md.",
    stepLimits: "Requests VMs for waiting tasks whose step limits how many of them share a worker; part of `adaptive-pools` too.",
    loadShedding: "Refuses submissions that would end without value; see design/load-shedding.md.",
    learnedDurations: "Corrects estimated durations by those of earlier runs; see design/look-ahead-placement.md.",
    reservations: "Reserves capacity for large steps and backfills; see design/look-ahead-placement.md.",
};

function featureSection(): string {
    const names = Object.keys(schedulingFeatureNames) as (keyof typeof schedulingFeatureNames)[];
    return [
        "## Scheduling features of the platform build",
        "",
        "`NUTMEGJUNCTION_SCHEDULING_FEATURES` lists names separated by commas; all features are off by default. `deploy/system.toml` sets it.",
        "",
        "| Name | Meaning |",
        "| --- | --- |",
        ...names.map(name => `| \`${schedulingFeatureNames[name]}\` | ${featureTexts[name]} |`),
        "",
    ].join("\n");
}

function renderSettings(): string {
    return [
        "# Settings",
        "",
        "Generated by `npm run generate`; do not edit. A flag takes precedence over its environment variable. If settings are",
        "invalid, all findings are reported together and the process exits with code 2 before it listens on any address.",
        "",
        settingSection("`nutmegjunction gateway`", gatewaySettings),
        settingSection("`nutmegjunction steward`", stewardSettings),
        settingSection("Operators' commands", operatorSettings),
        featureSection(),
        limitSection(),
    ].join("\n");
}

function renderLogEvents(): string {
    const rows = Object.values(logEvents).map(event => `| ${event.id} | ${event.level} | ${event.text} |`);
    return [
        "# Log events",
        "",
        "Generated by `npm run generate`; do not edit. Each line of a process's standard output is one JSON object with `timeMs`,",
        "`level`, `event` (the number below), `text`, `role`, `memberId`, `zone` and the event's own fields, which carry their unit",
        "as a suffix. Keys and other secrets are never logged.",
        "",
        "| Event | Level | Meaning |",
        "| --- | --- | --- |",
        ...rows,
        "",
    ].join("\n");
}

const pages: Record<string, string> = { "docs/SETTINGS.md": renderSettings(), "docs/LOG-EVENTS.md": renderLogEvents() };

function readPage(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch {
        return "";
    }
}

if (process.argv.includes("--write")) {
    Object.entries(pages).forEach(([file, text]) => writeFileSync(file, text));
}
else {
    const outdated = Object.entries(pages).filter(([file, text]) => readPage(file) !== text).map(([file]) => file);
    outdated.forEach(file => console.error(`${file} is out of date; run 'npm run generate'`));
    process.exitCode = outdated.length > 0 ? 1 : 0;
}
