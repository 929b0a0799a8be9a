/** Commands that change the fleet or show its state through the administration API. */
import { type Finding, formatFindings } from "../common/findings.js";
import { diffValues } from "../version/describeDifferences.js";
import { type LoadedFleet, loadFleetFiles } from "../version/loadFleetFiles.js";
import { resolveFleet } from "../version/resolveFleet.js";
import { type AdminRequest, type AdminResponse, sendAdminRequest } from "./adminClient.js";
import { type Command, type CommandInput, type ExitCode, exitCodes } from "./commandTypes.js";

/** Prints a response: its body as JSON, or the text that `describe` returns for it. */
function printResponse(input: CommandInput, response: AdminResponse, describe: (body: Record<string, unknown>) => string): ExitCode {
    const isSuccess = response.statusCode < 300;
    if (input.isJson) {
        input.print(JSON.stringify(response.body));
    }
    else if (isSuccess) {
        input.print(describe(response.body));
    }
    else {
        const differences = Array.isArray(response.body.differences) ? `\n${response.body.differences.join("\n")}` : "";
        input.printError(`${response.statusCode} ${String(response.body.title)}: ${String(response.body.detail ?? "")}${differences}`);
    }
    if (!isSuccess) {
        return exitCodes.failed;
    }
    return response.statusCode === 202 ? exitCodes.pending : exitCodes.ok;
}

async function sendAndPrint(
    input: CommandInput,
    call: AdminRequest,
    describe: (body: Record<string, unknown>) => string,
): Promise<ExitCode> {
    const response = await sendAdminRequest(input.settings, call);
    if (response.err) {
        input.printError(response.val);
        return exitCodes.failed;
    }
    return printResponse(input, response.val, describe);
}

function describeAcceptance(body: Record<string, unknown>): string {
    if (body.isAccepted) {
        return `version ${String(body.version)} is in force everywhere`;
    }
    const zones = (body.zonesMissing as string[]).join(", ") || "none";
    const teams = (body.teamsOverLimit as string[]).join(", ") || "none";
    return `version ${
        String(body.version)
    } is written; zones that have not applied it yet: ${zones}; teams still over their limit: ${teams}`;
}

function reportFindings(input: CommandInput, findings: Finding[]): ExitCode {
    input.printError(input.isJson ? JSON.stringify({ findings }) : `${findings.length} findings\n${formatFindings(findings)}`);
    return exitCodes.invalidInput;
}

/** Loads and validates a configuration folder; reports findings and returns `undefined` if there are any. */
function loadValidated(input: CommandInput): LoadedFleet | undefined {
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
    const loaded = loadValidated(input);
    if (!loaded) {
        return exitCodes.invalidInput;
    }
    const zones = Object.keys(loaded.document.overlays);
    input.print(input.isJson ? JSON.stringify({ findings: [], zones }) : `no findings; zones: ${zones.join(", ")}`);
    return exitCodes.ok;
};

export const diffConfiguration: Command = async input => {
    const loaded = loadValidated(input);
    if (!loaded) {
        return exitCodes.invalidInput;
    }
    const describe = (body: Record<string, unknown>): string => {
        const differences = diffValues(body.document ?? {}, loaded.document);
        return differences.length === 0 ? `no differences from version ${String(body.version)}` : differences.join("\n");
    };
    return sendAndPrint(input, { method: "GET", path: "/admin/v1/configuration" }, describe);
};

export const applyConfiguration: Command = async input => {
    const loaded = loadValidated(input);
    if (!loaded) {
        return exitCodes.invalidInput;
    }
    const current = await sendAdminRequest(input.settings, { method: "GET", path: "/admin/v1/configuration" });
    if (current.err || current.val.etag === undefined) {
        input.printError(
            current.err ? current.val : `the gateway responded with status ${current.val.statusCode}: ${JSON.stringify(current.val.body)}`,
        );
        return exitCodes.failed;
    }
    return sendAndPrint(
        input,
        { method: "PUT", path: "/admin/v1/configuration", body: loaded.document, ifMatch: current.val.etag },
        describeAcceptance,
    );
};

export const showConfigurationStatus: Command = input =>
    sendAndPrint(
        input,
        { method: "GET", path: "/admin/v1/configuration" },
        body => body.version === 0 ? "no configuration yet" : describeAcceptance(body),
    );

export const createKey: Command = input =>
    sendAndPrint(
        input,
        { method: "POST", path: "/admin/v1/keys", body: { team: input.args[0] } },
        body => `${String(body.key)}\nkey id ${String(body.keyId)}; ${describeAcceptance(body)}`,
    );

export const revokeKey: Command = input =>
    sendAndPrint(input, { method: "DELETE", path: `/admin/v1/keys/${encodeURIComponent(input.args[0] ?? "")}` }, describeAcceptance);

export const listKeys: Command = input =>
    sendAndPrint(
        input,
        { method: "GET", path: "/admin/v1/keys" },
        body => (body.keys as { keyId: string; team: string }[]).map(key => `${key.keyId} ${key.team}`).join("\n") || "no keys",
    );

export const startDrain: Command = input =>
    sendAndPrint(input, {
        method: "POST",
        path: "/admin/v1/drains",
        body: { serverId: input.args[0], reason: input.args.slice(1).join(" ") },
    }, describeAcceptance);

export const stopDrain: Command = input =>
    sendAndPrint(input, { method: "DELETE", path: `/admin/v1/drains/${encodeURIComponent(input.args[0] ?? "")}` }, describeAcceptance);

export const listDrains: Command = input =>
    sendAndPrint(
        input,
        { method: "GET", path: "/admin/v1/drains" },
        body =>
            (body.drains as { serverId: string; reason: string }[]).map(drain => `${drain.serverId} ${drain.reason}`).join("\n") ||
            "no drains",
    );

export const showStatus: Command = input =>
    sendAndPrint(input, { method: "GET", path: "/admin/v1/status" }, body => JSON.stringify(body, undefined, 2));
