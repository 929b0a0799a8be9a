/** What admission is asked and what it answers. */
import type { ServerChoice } from "../decisions/chooseServer.js";
import type { Priority } from "../version/fleetDocument.js";
import type { ServerState } from "./serverTable.js";

/** A request that asks for admission. */
export interface AdmissionRequest {
    requestId: string;
    service: string;
    pool: string;
    queueCapacityCount: number;
    team: string;
    /** Whether the team has an upper limit; open queues have none. */
    isLimited: boolean;
    shareWeight: number;
    priority: Priority;
    worth: number;
    expectedRunMs: number;
    /** Monotonic time after which it need not start. */
    deadlineMs: number;
    /** Servers that were tried already. */
    excludedServerIds: ReadonlySet<string>;
    /** Whether it was admitted before and goes before the team's others. */
    isRetry: boolean;
    /** Whether nobody waits for the answer any more. */
    isCallerDisconnected(): boolean;
}

export const rejectionReasons = {
    queueFull: "queueFull",
    displaced: "displaced",
    deadlinePassed: "deadlinePassed",
    stopping: "stopping",
    callerDisconnected: "callerGone",
} as const;
export type RejectionReason = (typeof rejectionReasons)[keyof typeof rejectionReasons];

/** A slot of the team and one of the server, to be given back with `finish`. */
export interface AdmissionGrant {
    isGranted: true;
    server: ServerState;
    choice: ServerChoice;
    waitedMs: number;
    /** Gives both slots back after `ranMs` of use. */
    release(ranMs: number): void;
}
export type AdmissionResult = AdmissionGrant | { isGranted: false; reason: RejectionReason; detail: string };
