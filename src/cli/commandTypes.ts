/** Exit codes, and the type of a command and of its input. */
import type { OperatorSettings } from "../process/settings.js";

export const exitCodes = {
    ok: 0,
    /** The request failed or was rejected. */
    failed: 1,
    /** Invalid settings or input; nothing was changed. */
    invalidInput: 2,
    /** Written, but not yet in force everywhere. */
    pending: 3,
} as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

export interface CommandInput {
    /** Arguments after the command's name. */
    args: string[];
    settings: OperatorSettings;
    isJson: boolean;
    print(text: string): void;
    printError(text: string): void;
}

export type Command = (input: CommandInput) => Promise<ExitCode>;
