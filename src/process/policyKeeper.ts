/**
 * Knows the policy of the newest configuration, and what unfinished jobs need of former ones. An owner stores the latter, so that a process
 * that starts later has it too.
 */
import * as z from "zod";
import type { TimerService } from "../common/timerService.js";
import type { PlatformStore } from "../connection/platformStore.js";
import type { JobDirectory } from "../scheduling/jobDirectory.js";
import { jobKeys } from "../scheduling/jobDocuments.js";
import type { SchedulingPolicy } from "../scheduling/jobTypes.js";
import {
    isNothingRetained,
    mergeRetained,
    noRetainedPolicies,
    policyUseOf,
    type RetainedPolicies,
    retainRemoved,
} from "../scheduling/retainedPolicies.js";
import { logEvents } from "./logEvents.js";
import type { Logger } from "./logger.js";
import type { StoreMirror } from "./storeMirror.js";
import type { ReportUnreadable } from "./unreadableDocuments.js";
import { createWrittenRevisions } from "./writtenRevisions.js";

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

export interface PolicyKeeperOptions {
    store: PlatformStore;
    mirror(): StoreMirror;
    directory: JobDirectory;
    timers: TimerService;
    /** Revision of the term key in the owner's term; writes are guarded by it and fail in any other term. */
    termRevision(): number | undefined;
    logger: Logger;
    onUnreadable: ReportUnreadable;
}

/** Short against the time in which all processes could end; those that run know a removed queue from the configuration. */
const saveIntervalMs = 500;

const resourcesSchema = z.object({ cpuMillicores: z.number(), memoryMb: z.number(), accelerators: z.number() });
const retainedSchema = z.object({
    queues: z.array(z.object({
        configurationVersion: z.number(),
        policy: z.object({
            name: z.string(),
            poolName: z.string(),
            priority: z.number(),
            maxAttempts: z.number(),
            criticalPathFactor: z.number(),
            latencyObjectiveMs: z.number(),
        }),
    })),
    teams: z.array(z.object({
        configurationVersion: z.number(),
        policy: z.object({ name: z.string(), weight: z.number(), limit: resourcesSchema }),
    })),
});

function encodeRetained({ queues, teams }: RetainedPolicies): string {
    return JSON.stringify({ queues: [...queues.values()], teams: [...teams.values()] });
}

function decodeRetained(text: string): RetainedPolicies {
    const { queues, teams } = retainedSchema.parse(JSON.parse(text));
    return {
        queues: new Map(queues.map(each => [each.policy.name, each])),
        teams: new Map(teams.map(each => [each.policy.name, each])),
    };
}

export function createPolicyKeeper(options: PolicyKeeperOptions): PolicyKeeper {
    const { store, timers } = options;
    const key = jobKeys.retainedPolicies;
    const revisions = createWrittenRevisions(written => options.mirror().revisionOf(written));
    let configured: SchedulingPolicy | undefined;
    let retained = noRetainedPolicies;

    const readStored = (): RetainedPolicies => {
        const text = options.mirror().valueOf(key);
        try {
            return text === undefined ? noRetainedPolicies : decodeRetained(text);
        }
        catch (error) {
            options.onUnreadable(key, String(error));
            return noRetainedPolicies;
        }
    };

    /** Returns whether the store has the text now. */
    const save = async (text: string, termRevision: number): Promise<boolean> => {
        const swapped = await store.swap(
            [{ key: jobKeys.term, expectedRevision: termRevision }, { key, expectedRevision: revisions.expected(key) }],
            [{ key, value: text }],
        );
        if (swapped.err) {
            options.logger.log(logEvents.retainedPoliciesWriteFailed, { reason: swapped.val.reason });
            return false;
        }
        const { isSwapped, revision, current } = swapped.val;
        revisions.update(key, isSwapped ? revision : current.find(each => each.key === key)?.revision ?? 0);
        return isSwapped;
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
            let savedText = options.mirror().valueOf(key);
            let isSaving = false;
            timers.every(saveIntervalMs, signal, () => {
                retained = currentRetained();
                const text = encodeRetained(retained);
                const termRevision = options.termRevision();
                const isSaved = text === savedText || (savedText === undefined && isNothingRetained(retained));
                if (isSaved || isSaving || termRevision === undefined) {
                    return;
                }
                isSaving = true;
                void save(text, termRevision)
                    .then(hasSaved => savedText = hasSaved ? text : savedText)
                    .finally(() => isSaving = false);
            });
        },
    };
}
