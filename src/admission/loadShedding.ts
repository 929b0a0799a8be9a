/** Assembles admission under overload: what the owner publishes, and what every process refuses by it. */
import type { VmService } from "../connection/vmService.js";
import type { JobAdmission } from "../process/submissionWriter.js";
import type { DirectoryEvent } from "../scheduling/jobDirectory.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import { createFullPools } from "./fullPools.js";
import { createIncomingVms } from "./incomingVms.js";
import { createRecentArrivals } from "./recentArrivals.js";
import { createRefusals, type RefusalsOptions } from "./refusals.js";
import { startPublishing, type SummaryPublisherOptions } from "./summaryPublisher.js";

export interface LoadShedding extends JobAdmission {
    /** Returns the service with its moves noted. */
    observeVms(service: VmService): VmService;
    /** Must be called when the scheduler of a term was created; `termSignal` aborts when the term ends. */
    onTermStarted(scheduler: Scheduler, termSignal: AbortSignal): void;
    /** Must be called after the scheduler has got the event. */
    onJobEvent(event: DirectoryEvent): void;
}

export function createLoadShedding(options: RefusalsOptions & SummaryPublisherOptions): LoadShedding {
    const { nowMs } = options.timers;
    const incoming = createIncomingVms(nowMs);
    let onEventOfTerm: ((event: DirectoryEvent) => void) | undefined;
    return {
        ...createRefusals(options),
        observeVms: incoming.observe,
        onTermStarted: (scheduler, termSignal) => {
            const arrivals = createRecentArrivals(nowMs);
            const onEvent = (event: DirectoryEvent): void => arrivals.onJobEvent(event, scheduler.state);
            onEventOfTerm = onEvent;
            termSignal.addEventListener("abort", () => onEventOfTerm = onEventOfTerm === onEvent ? undefined : onEventOfTerm, {
                once: true,
            });
            startPublishing(options, scheduler, createFullPools(arrivals, incoming), termSignal);
        },
        onJobEvent: event => onEventOfTerm?.(event),
    };
}
