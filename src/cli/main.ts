#!/usr/bin/env node
/** The command `nutmegjunction`. */
import meow from "meow";
import { formatFindings } from "../common/findings.js";
import type { Finding } from "../common/findings.js";
import type { Result } from "../common/results.js";
import { type Daemon, startGateway } from "../daemons/gateway.js";
import { startSteward } from "../daemons/steward.js";
import { gatewaySettings, operatorSettings, readSettings, stewardSettings } from "../process/settings.js";
import { type Command, type ExitCode, exitCodes } from "./commandTypes.js";
import * as changes from "./fleetCommands.js";
import { helpText } from "./help.js";

const cli = meow(helpText, { importMeta: import.meta, flags: { json: { type: "boolean", default: false } } });

/** Commands by their words; the longest match counts. */
const commands: Record<string, Command> = {
    "config check": changes.checkConfiguration,
    "config diff": changes.diffConfiguration,
    "config apply": changes.applyConfiguration,
    "config status": changes.showConfigurationStatus,
    "key create": changes.createKey,
    "key withdraw": changes.revokeKey,
    "key list": changes.listKeys,
    "drain start": changes.startDrain,
    "drain stop": changes.stopDrain,
    "drain list": changes.listDrains,
    "status": changes.showStatus,
};
/** Commands that need no gateway. */
const localCommands: ReadonlySet<Command> = new Set([changes.checkConfiguration]);

const daemons: Record<string, (flags: Record<string, unknown>) => Result<() => Promise<Daemon>, Finding[]>> = {
    gateway: flags =>
        readSettings<Parameters<typeof startGateway>[0]>(gatewaySettings, flags, process.env).map(settings => () => startGateway(settings)),
    steward: flags =>
        readSettings<Parameters<typeof startSteward>[0]>(stewardSettings, flags, process.env).map(settings => () => startSteward(settings)),
};

function printFindings(findings: Finding[]): ExitCode {
    console.error(`${findings.length} findings in the settings\n${formatFindings(findings)}`);
    return exitCodes.invalidInput;
}

/** Runs a daemon until it is told to stop. */
async function runDaemon(name: string, flags: Record<string, unknown>): Promise<ExitCode> {
    const start = daemons[name]!(flags);
    if (start.err) {
        return printFindings(start.val);
    }
    let daemon: Daemon;
    try {
        daemon = await start.val();
    }
    catch (error) {
        console.error(`${name}: ${error instanceof Error ? error.message : String(error)}; free the address or set another one`);
        return exitCodes.failed;
    }
    await new Promise<void>(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
    await daemon.stop();
    return exitCodes.ok;
}

async function runCommand(words: string[], flags: Record<string, unknown>, isJson: boolean): Promise<ExitCode> {
    const name = [words.slice(0, 2).join(" "), words[0] ?? ""].find(candidate => Object.hasOwn(commands, candidate));
    if (name === undefined) {
        console.error(
            `${words.length === 0 ? "no command was named" : `there is no command '${words.join(" ")}'`}; see nutmegjunction --help`,
        );
        return exitCodes.invalidInput;
    }
    const command = commands[name]!;
    const settings = readSettings<Parameters<Command>[0]["settings"]>(operatorSettings, flags, process.env);
    if (settings.err && !localCommands.has(command)) {
        return printFindings(settings.val);
    }
    return command({
        args: words.slice(name.split(" ").length),
        settings: settings.ok ? settings.val : { adminAddress: "", operatorKey: "" },
        isJson,
        print: text => console.log(text),
        printError: text => console.error(text),
    });
}

const { json: isJson, ...flags } = cli.flags;
const [first = ""] = cli.input;
const exitCode = Object.hasOwn(daemons, first) ? await runDaemon(first, flags) : await runCommand(cli.input, flags, isJson);
process.exitCode = exitCode;
