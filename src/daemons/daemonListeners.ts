/** The limited listeners of a gateway and a steward, and what part of the process's resources each may take. */
import type http from "node:http";
import { getHeapStatistics } from "node:v8";
import { outcomes } from "../common/outcomes.js";
import { headerNames } from "../connection/httpHeaders.js";
import { limitListener, maxBodyBytesInFlight, type ProcessResources } from "../decisions/listenerLimits.js";
import { type BodyMemory, createBodyMemory } from "../listening/bodyMemory.js";
import { createLimitedServer, type LimitedServerOptions } from "../listening/limitedServer.js";
import { createLimitReport } from "../listening/limitReport.js";
import type { DescribeRefusal } from "../listening/refuse.js";
import type { ProcessContext } from "../process/processContext.js";
import type { SharedSettings } from "../process/settings.js";
import { problems, renderProblem } from "../request/problems.js";

export interface DaemonListeners {
    bodies: BodyMemory;
    /** Creates a server that takes `share` of the connections that the process can take. */
    createServer(
        name: string,
        share: number,
        listener: http.RequestListener,
        options?: Pick<LimitedServerOptions, "serverOptions" | "onUpgrade">,
    ): http.Server;
}

/** Clients wait for a response before they send the next request; a few more are served. */
const maxPendingRequests = 4;
const tooManyRequestsStatus = 429;

const describeRefusal: DescribeRefusal = (request, status, reason) => {
    // The idempotency key has not been looked up, so an earlier request with the same key may have run.
    const outcome = request.headers[headerNames.idempotencyKey] === undefined ? outcomes.notRun : outcomes.unknown;
    const type = status === tooManyRequestsStatus ? problems.tooManyPending : problems.overloaded;
    return {
        headers: { "content-type": "application/problem+json", [headerNames.outcome]: outcome },
        body: renderProblem({ type, outcome, detail: `${reason}; send it again in a second`, requestId: "" }),
    };
};

export function createDaemonListeners(context: ProcessContext, settings: SharedSettings): DaemonListeners {
    const { timers } = context;
    const resources: ProcessResources = {
        memoryMb: settings.memoryLimitMb,
        maxDescriptors: settings.maxDescriptors,
        heapLimitBytes: getHeapStatistics().heap_size_limit,
    };
    const reportOf = (listener: string) => createLimitReport({ ...context, listener, nowMs: timers.nowMs });
    return {
        bodies: createBodyMemory({ maxBytesInFlight: maxBodyBytesInFlight(resources), report: reportOf("bodies"), timers }),
        createServer: (name, share, listener, options) =>
            createLimitedServer({
                ...options,
                limits: limitListener(resources, share, maxPendingRequests),
                report: reportOf(name),
                timers,
                describeRefusal,
            }, listener),
    };
}
