/** Optional features of the scheduling, which a deployment switches on by name. */
import { Err, Ok, type Result } from "../common/results.js";

/** The features by the name that settings use. */
export const schedulingFeatureNames = {
    /** Sizes pools by a forecast of their demand. */
    adaptivePools: "adaptive-pools",
    /** Requests VMs for tasks whose step limits how many of them share a worker; part of adaptive pools too. */
    stepLimits: "step-limits",
    /** Refuses submissions that would start too late to have any value. */
    loadShedding: "load-shedding",
    /** Corrects estimated durations by those of earlier runs. */
    learnedDurations: "learned-durations",
    /** Reserves capacity for large steps and backfills with smaller ones. */
    reservations: "reservations",
} as const;

export type SchedulingFeatures = Readonly<Record<keyof typeof schedulingFeatureNames, boolean>>;

export const noSchedulingFeatures: SchedulingFeatures = {
    adaptivePools: false,
    stepLimits: false,
    loadShedding: false,
    learnedDurations: false,
    reservations: false,
};

/** Parses names separated by commas; `undefined` and an empty text switch nothing on. The error lists what is wrong. */
export function parseSchedulingFeatures(text: string | undefined): Result<SchedulingFeatures, string[]> {
    const names = (text ?? "").split(",").map(name => name.trim()).filter(name => name !== "");
    const known = Object.entries(schedulingFeatureNames);
    const unknown = names.filter(name => !known.some(([, each]) => each === name));
    if (unknown.length > 0) {
        const allowed = known.map(([, name]) => name).join(", ");
        return Err(unknown.map(name => `unknown scheduling feature "${name}"; expected any of: ${allowed}`));
    }
    const enabled = Object.fromEntries(known.map(([key, name]) => [key, names.includes(name)]));
    return Ok({ ...noSchedulingFeatures, ...enabled });
}
