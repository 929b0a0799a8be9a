/** Commands that change the fleet or show its state through the administration API. */
import { type Finding, formatFindings } from "../common/findings.js";
import { diffValues } from "../version/describeDifferences.js";
import { type LoadedFleet, loadFleetFiles } from "../version/loadFleetFiles.js";
import { resolveFleet } from "../version/resolveFleet.js";
import { type AdminRequest, type AdminResponse, sendAdminRequest } from "./adminClient.js";
import { type Command, type CommandInput, type ExitCode, exitCodes } from "./commandTypes.js";

/** Prints an answer: its whole body as JSON, or the lines that `describe` makes of it. */
function printAnswer(input: CommandInput, answer: AdminResponse, describe: (body: Record<string, unknown>) => string): ExitCode {
    const isGood = answer.statusCode < 300;
    if (input.isJson) {
        input.print(JSON.stringify(answer.body));
    }
    else if (isGood) {
        input.print(describe(answer.body));
    }
    else {
        const extra = Array.isArray(answer.body.differences) ? `\n${answer.body.differences.join("\n")}` : "";
        input.printError(`${answer.statusCode} ${String(answer.body.title)}: ${String(answer.body.detail ?? "")}${extra}`);
    }
    if (!isGood) {
        return exitCodes.failed;
    }
    return answer.statusCode === 202 ? exitCodes.pending : exitCodes.ok;
}

async function callAndPrint(
    input: CommandInput,
    call: AdminRequest,
    describe: (body: Record<string, unknown>) => string,
): Promise<ExitCode> {
    const answer = await sendAdminRequest(input.settings, call);
    if (answer.err) {
        input.printError(answer.val);
        return exitCodes.failed;
    }
    return printAnswer(input, answer.val, describe);
}

function describeAcceptance(body: Record<string, unknown>): string {
    if (body.isAccepted) {
        return `version ${String(body.version)} is in force everywhere`;
    }
    const zones = (body.zonesMissing as string[]).join(", ") || "none";
    const teams = (body.teamsOverLimit as string[]).join(", ") || "none";
    return `version ${String(body.version)} is written; zones that do not hold it yet: ${zones}; teams still over their limit: ${teams}`;
}

function reportFindings(input: CommandInput, findings: Finding[]): ExitCode {
    input.printError(input.isJson ? JSON.stringify({ findings }) : `${findings.length} findings\n${formatFindings(findings)}`);
    return exitCodes.invalidInput;
}

/** Loads and checks a folder; `undefined` after the findings were reported. */
function loadChecked(input: CommandInput): LoadedFleet | undefined {
    const [folder] = input.args;
    if (folder === undefined) {
        input.printError("name the folder that holds base.yaml and sites/");
        return undefined;
    }
    const loaded = loadFleetFiles(folder);
    if (loaded.err) {
        reportFindings(input, loaded.val);
        return undefined;
    }
    const resolved = resolveFleet(loaded.val.document);
    if (resolved.err) {
        reportFindings(input, resolved.val.map(loaded.val.locate));
        return undefined;
    }
    return loaded.val;
}

export const checkConfiguration: Command = async input => {
    const loaded = loadChecked(input);
    if (!loaded) {
        return exitCodes.invalidInput;
    }
    const zones = Object.keys(loaded.document.overlays);
    input.print(input.isJson ? JSON.stringify({ findings: [], zones }) : `no findings; zones: ${zones.join(", ")}`);
    return exitCodes.ok;
};

export const diffConfiguration: Command = async input => {
    const loaded = loadChecked(input);
    if (!loaded) {
        return exitCodes.invalidInput;
    }
    const describe = (body: Record<string, unknown>): string => {
        const differences = diffValues(body.document ?? {}, loaded.document);
        return differences.length === 0 ? `no differences from version ${String(body.version)}` : differences.join("\n");
    };
    return callAndPrint(input, { method: "GET", path: "/admin/v1/configuration" }, describe);
};

export const applyConfiguration: Command = async input => {
    const loaded = loadChecked(input);
    if (!loaded) {
        return exitCodes.invalidInput;
    }
    const current = await sendAdminRequest(input.settings, { method: "GET", path: "/admin/v1/configuration" });
    if (current.err || current.val.etag === undefined) {
        input.printError(current.err ? current.val : `the gateway answered ${current.val.statusCode}: ${JSON.stringify(current.val.body)}`);
        return exitCodes.failed;
    }
    return callAndPrint(
        input,
        { method: "PUT", path: "/admin/v1/configuration", body: loaded.document, ifMatch: current.val.etag },
        describeAcceptance,
    );
};

export const showConfigurationStatus: Command = input =>
    callAndPrint(
        input,
        { method: "GET", path: "/admin/v1/configuration" },
        body => body.version === 0 ? "no configuration yet" : describeAcceptance(body),
    );

export const createKey: Command = input =>
    callAndPrint(
        input,
        { method: "POST", path: "/admin/v1/keys", body: { team: input.args[0] } },
        body => `${String(body.key)}\nkey id ${String(body.keyId)}; ${describeAcceptance(body)}`,
    );

export const revokeKey: Command = input =>
    callAndPrint(input, { method: "DELETE", path: `/admin/v1/keys/${encodeURIComponent(input.args[0] ?? "")}` }, describeAcceptance);

export const listKeys: Command = input =>
    callAndPrint(
        input,
        { method: "GET", path: "/admin/v1/keys" },
        body => (body.keys as { keyId: string; team: string }[]).map(key => `${key.keyId} ${key.team}`).join("\n") || "no keys",
    );

export const startDrain: Command = input =>
    callAndPrint(input, {
        method: "POST",
        path: "/admin/v1/drains",
        body: { serverId: input.args[0], reason: input.args.slice(1).join(" ") },
    }, describeAcceptance);

export const stopDrain: Command = input =>
    callAndPrint(input, { method: "DELETE", path: `/admin/v1/drains/${encodeURIComponent(input.args[0] ?? "")}` }, describeAcceptance);

export const listDrains: Command = input =>
    callAndPrint(
        input,
        { method: "GET", path: "/admin/v1/drains" },
        body =>
            (body.drains as { serverId: string; reason: string }[]).map(drain => `${drain.serverId} ${drain.reason}`).join("\n") ||
            "no drains",
    );

export const showStatus: Command = input =>
    callAndPrint(input, { method: "GET", path: "/admin/v1/status" }, body => JSON.stringify(body, undefined, 2));
