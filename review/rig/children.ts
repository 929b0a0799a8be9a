/** The child processes of a case; none outlives it. */
import type { ChildProcess } from "node:child_process";
import { waitFor } from "./http.js";

export interface Children {
    keep(child: ChildProcess): ChildProcess;
    /** Ends all children at once, and waits until they have ended. */
    end(): Promise<void>;
}

const interruptedExitCode = 2;
const endTimeoutMs = 5_000;

export function createChildren(): Children {
    const children = new Set<ChildProcess>();
    const kill = (): void => [...children].forEach(child => child.kill("SIGKILL"));
    process.once("exit", kill);
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
        process.once(signal, () => process.exit(interruptedExitCode));
    }
    return {
        keep: child => {
            children.add(child);
            child.on("exit", () => children.delete(child));
            return child;
        },
        end: async () => {
            kill();
            await waitFor(() => children.size === 0, endTimeoutMs);
        },
    };
}

export function readLines(child: ChildProcess, onLine: (line: string) => void): void {
    let rest = "";
    child.stdout?.setEncoding("utf8").on("data", (chunk: string) => {
        const lines = (rest + chunk).split("\n");
        rest = lines.pop() ?? "";
        lines.forEach(onLine);
    });
}
