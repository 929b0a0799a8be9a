/**
 * Knows the policy of the newest configuration, and what unfinished jobs need of former ones. An owner stores the latter, so that a process
 * that starts later has it too.
 */
import type { TimerService } from "../common/timerService.js";
import type { JobDirectory } from "../scheduling/jobDirectory.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import type { SchedulingPolicy } from "../scheduling/jobTypes.js";
import { decodeRetained, encodeRetained } from "../scheduling/policyDocuments.js";
import {
    mergeRetained,
    noRetainedPolicies,
    policyUseOf,
    type RetainedPolicies,
    retainRemoved,
} from "../scheduling/retainedPolicies.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { StoreMirror } from "./storeMirror.js";
import { createTermWriter, type TermWriterOptions } from "./termWriter.js";
import type { ReportUnreadable } from "./unreadableDocuments.js";

export interface PolicyKeeper {
    /** `undefined` before the first configuration. */
    configured(): SchedulingPolicy | undefined;
    /** Sets the policy of the newest configuration. */
    configure(next: SchedulingPolicy): void;
    /** What this process and earlier owners know of former configurations, for a new term. */
    retained(): RetainedPolicies;
    /** Stores what the scheduler of a term retains whenever that has changed, until `signal` aborts. */
    startSaving(currentRetained: () => RetainedPolicies, signal: AbortSignal): void;
}

export interface PolicyKeeperOptions extends TermWriterOptions {
    mirror(): StoreMirror;
    directory: JobDirectory;
    timers: TimerService;
    logger: Logger;
    onUnreadable: ReportUnreadable;
}

/** Short against the time in which all processes could end; those that run know a removed queue from the configuration. */
const saveIntervalMs = 500;

export function createPolicyKeeper(options: PolicyKeeperOptions): PolicyKeeper {
    const key = jobKeys.retainedPolicies;
    const writer = createTermWriter(options);
    let configured: SchedulingPolicy | undefined;
    let retained = noRetainedPolicies;

    const storedText = (): string => options.mirror().valueOf(key) ?? encodeRetained(noRetainedPolicies);
    const readStored = (): RetainedPolicies => {
        try {
            return decodeRetained(storedText());
        }
        catch (error) {
            options.onUnreadable(key, String(error));
            return noRetainedPolicies;
        }
    };

    return {
        configured: () => configured,
        configure: next => {
            if (configured) {
                retained = retainRemoved(retained, configured, next, () => policyUseOf(options.directory.unfinishedEntries()));
            }
            configured = next;
        },
        retained: () => configured ? mergeRetained(retained, readStored(), configured) : retained,
        startSaving: (currentRetained, signal) => {
            let isSaving = false;
            const save = async (text: string): Promise<void> => {
                isSaving = true;
                const failure = await writer.write(key, text);
                isSaving = false;
                if (failure !== undefined) {
                    options.logger.log(logEvents.retainedPoliciesWriteFailed, { reason: failure });
                }
            };
            options.timers.every(saveIntervalMs, signal, () => {
                retained = currentRetained();
                const text = encodeRetained(retained);
                if (!isSaving && text !== storedText()) {
                    void save(text);
                }
            });
        },
    };
}
