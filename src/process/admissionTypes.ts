/** Input and results of admission control. */
import type { ServerChoice } from "../decisions/chooseServer.js";
import type { Priority } from "../version/fleetDocument.js";
import type { ServerState } from "./serverTable.js";

/** A request submitted for admission. */
export interface AdmissionRequest {
    requestId: string;
    service: string;
    pool: string;
    queueCapacityCount: number;
    team: string;
    /** Whether a team limit applies to the request; requests in open queues have none. */
    isLimited: boolean;
    shareWeight: number;
    priority: Priority;
    worth: number;
    expectedRunMs: number;
    /** Monotonic time by which the response must have begun. */
    deadlineMs: number;
    /** Servers that earlier attempts used. */
    excludedServerIds: ReadonlySet<string>;
    /** Whether the request was admitted before; a retry is queued ahead of the team's other requests. */
    isRetry: boolean;
    /** Whether nobody waits for the response any more. */
    isCallerDisconnected(): boolean;
}

export const rejectionReasons = {
    queueFull: "queueFull",
    displaced: "displaced",
    deadlinePassed: "deadlinePassed",
    stopping: "stopping",
    callerDisconnected: "callerDisconnected",
} as const;
export type RejectionReason = (typeof rejectionReasons)[keyof typeof rejectionReasons];

/** One slot of the team's limit and one of the server, both held until `release` is called. */
export interface AdmissionGrant {
    isGranted: true;
    server: ServerState;
    choice: ServerChoice;
    waitedMs: number;
    /** Frees both slots; `ranMs` is the time that the request used them. */
    release(ranMs: number): void;
}
export type AdmissionResult = AdmissionGrant | { isGranted: false; reason: RejectionReason; detail: string };
