/** Child processes of the demo, the tests and the benchmarks. The product itself spawns no processes. */
import { type ChildProcess, spawn } from "node:child_process";
import path from "node:path";
import { fileURLToPath } from "node:url";

/** A child process whose output is read line by line. */
export interface Child {
    readonly pid: number;
    /** Resolves with the exit code, or with the name of the signal that terminated the process. */
    readonly exited: Promise<number | string>;
    /** Lines of standard output received so far. Only the first line unless `keepsLines` is set. */
    readonly lines: string[];
    readonly stderrText: () => string;
    kill(signal: NodeJS.Signals): void;
    /** Resolves with the first line that matches, including lines already kept. Rejects if the process exits first. */
    waitForLine(passes: (line: string) => boolean): Promise<string>;
}

export interface ChildOptions {
    /** Path of the script, relative to `dist`. */
    script: string;
    args: string[];
    environment?: Record<string, string>;
    /** Whether to keep lines after the first. */
    keepsLines?: boolean;
}

const distFolder = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "..");
const interruptedExitCode = 130;
const children = new Set<ChildProcess>();
process.once("exit", killAllChildren);
process.once("SIGINT", () => process.exit(interruptedExitCode));
process.once("SIGTERM", () => process.exit(interruptedExitCode));

/** Kills every child process that is still running. */
export function killAllChildren(): void {
    children.forEach(child => child.kill("SIGKILL"));
}

function splitLines(onLine: (line: string) => void): (chunk: string) => void {
    let rest = "";
    return chunk => {
        const lines = (rest + chunk).split("\n");
        rest = lines.pop() ?? "";
        lines.forEach(onLine);
    };
}

/** Starts a script of this project in a child process. */
export function startChild(options: ChildOptions): Child {
    const child = spawn(process.execPath, [path.join(distFolder, options.script), ...options.args], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { PATH: process.env.PATH ?? "", ...options.environment },
    });
    children.add(child);
    const lines: string[] = [];
    const waiting = new Set<(line: string) => void>();
    let errorText = "";
    let hasExited = false;
    child.stdout.setEncoding("utf8").on(
        "data",
        splitLines(line => {
            if (options.keepsLines || lines.length === 0) {
                lines.push(line);
            }
            waiting.forEach(check => check(line));
        }),
    );
    child.stderr.setEncoding("utf8").on("data", (chunk: string) => errorText += chunk);
    const exited = new Promise<number | string>(resolve =>
        child.on("close", (code, signal) => {
            hasExited = true;
            children.delete(child);
            resolve(code ?? signal ?? "");
        })
    );
    return {
        pid: child.pid ?? 0,
        exited,
        lines,
        stderrText: () => errorText,
        kill: signal => void (hasExited || child.kill(signal)),
        waitForLine: passes =>
            new Promise((resolve, reject) => {
                const known = lines.find(passes);
                if (known !== undefined) {
                    resolve(known);
                    return;
                }
                const check = (line: string): void => {
                    if (passes(line)) {
                        waiting.delete(check);
                        resolve(line);
                    }
                };
                waiting.add(check);
                void exited.then(code =>
                    reject(new Error(`${options.script} ${options.args.join(" ")} exited with ${code}: ${errorText}`))
                );
            }),
    };
}
