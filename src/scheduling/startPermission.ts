/** Where starts may be sent, and until when, by the operator's evacuations of availability zones. */
import { longestDurationWithin, startValidityMs } from "./leases.js";
import type { WorkerRecord } from "./workerRecord.js";

export interface StartPermission {
    /** Zones in which nothing may start. */
    evacuatedZones: ReadonlySet<string>;
    /** No start may be sent later, anywhere: the operator may have requested an evacuation that this process has not seen. */
    untilMs: number;
    /** Starts that are sent earlier must expire by then, so that no worker carries one out later. */
    expiryMs: number;
}

export const unlimitedStarts: StartPermission = {
    evacuatedZones: new Set(),
    untilMs: Number.POSITIVE_INFINITY,
    expiryMs: Number.POSITIVE_INFINITY,
};

export function isInEvacuatedZone({ evacuatedZones }: StartPermission, { entry }: Pick<WorkerRecord, "entry">): boolean {
    return evacuatedZones.has(entry.zone);
}

/** Whether a start may be sent to the worker now. */
export function isStartPermitted(permission: StartPermission, worker: Pick<WorkerRecord, "entry">, nowMs: number): boolean {
    return nowMs < permission.untilMs && !isInEvacuatedZone(permission, worker);
}

/** For how long, on its worker's clock, a start is valid that is sent now. */
export function startValidityAt({ expiryMs }: StartPermission, nowMs: number): number {
    return Math.min(startValidityMs, longestDurationWithin(expiryMs - nowMs));
}
