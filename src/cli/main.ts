#!/usr/bin/env node
/** Entry point of the command line `nutmegjunction`. */
import meow from "meow";
import { formatFindings } from "../common/findings.js";
import type { Finding } from "../common/findings.js";
import type { Result } from "../common/results.js";
import { type Daemon, startGateway } from "../daemons/gateway.js";
import { startSteward } from "../daemons/steward.js";
import { gatewaySettings, operatorSettings, readSettings, stewardSettings } from "../process/settings.js";
import { type Command, type ExitCode, exitCodes } from "./commandTypes.js";
import * as fleetCommands from "./fleetCommands.js";
import { helpText } from "./help.js";

const cli = meow(helpText, { importMeta: import.meta, flags: { json: { type: "boolean", default: false } } });

/** Commands by name; a name of two words takes precedence over one of one word. */
const commands: Record<string, Command> = {
    "config check": fleetCommands.checkConfiguration,
    "config diff": fleetCommands.diffConfiguration,
    "config apply": fleetCommands.applyConfiguration,
    "config status": fleetCommands.showConfigurationStatus,
    "key create": fleetCommands.createKey,
    "key withdraw": fleetCommands.revokeKey,
    "key list": fleetCommands.listKeys,
    "drain start": fleetCommands.startDrain,
    "drain stop": fleetCommands.stopDrain,
    "drain list": fleetCommands.listDrains,
    "status": fleetCommands.showStatus,
};
/** Commands that run without a gateway. */
const localCommands: ReadonlySet<Command> = new Set([fleetCommands.checkConfiguration]);

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

/** Runs a daemon until SIGTERM or SIGINT. */
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

async function runCommand(args: string[], flags: Record<string, unknown>, isJson: boolean): Promise<ExitCode> {
    const name = [args.slice(0, 2).join(" "), args[0] ?? ""].find(candidate => Object.hasOwn(commands, candidate));
    if (name === undefined) {
        console.error(
            `${args.length === 0 ? "no command was named" : `there is no command '${args.join(" ")}'`}; see nutmegjunction --help`,
        );
        return exitCodes.invalidInput;
    }
    const command = commands[name]!;
    const settings = readSettings<Parameters<Command>[0]["settings"]>(operatorSettings, flags, process.env);
    if (settings.err && !localCommands.has(command)) {
        return printFindings(settings.val);
    }
    return command({
        args: args.slice(name.split(" ").length),
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
