/**
 * Predicts when a job that arrives now would start, by its queue, its team's share and the size of its work. It is designed for a pool that is
 * full for longer than jobs can wait: what arrives beyond its capacity waits until it is worthless, and then takes capacity from later work.
 *
 * The pool's waiting work is served in the order of `orderSteps` as a fluid, with the capacity that running tasks leave. Arrivals go on as in
 * the last seconds for as long as the pool has been full already, so that the beginning of a surge refuses nothing. Work whose predicted end
 * is too late is left out of the further arrivals before the next kind is judged: teams beyond their share first, then less urgent
 * queues, and in these the largest jobs. So each is refused only if that is still needed once those before it are refused.
 */
import { valueLossFactor } from "./orderSteps.js";

/** Work of one job, or of several alike. Times are relative to now. */
export interface FluidWork {
    queueName: string;
    isWithinShare: boolean;
    hasStarted: boolean;
    /** Work of the job by which the order goes. */
    jobWorkMillicoreS: number;
    /** Work that is left; for an arrival, all. */
    leftMillicoreS: number;
    /** Negative for work that has arrived. */
    submittedMs: number;
    /** Time from the submission until which the job should be done; after a multiple of it, the job has no value. */
    objectiveMs: number;
    /** Estimated time from the start of what is left to the end of the job. */
    criticalPathMs: number;
}

export interface QueueUrgency {
    queueName: string;
    /** 0 is the most urgent. */
    priority: number;
}

export interface PoolLoad {
    queues: readonly QueueUrgency[];
    /** Capacity for short tasks. */
    cpuMillicores: number;
    /** Capacity that is being moved in. */
    incoming: readonly { cpuMillicores: number; afterMs: number }[];
    /** Short tasks that run now. */
    running: readonly { cpuMillicores: number; remainingMs: number }[];
    waiting: readonly FluidWork[];
    /** What arrived, refused or not, within the last `arrivalsWindowMs`. */
    arrivals: readonly FluidWork[];
    arrivalsWindowMs: number;
    /** How long work has been waiting for the pool without a break. */
    fullForMs: number;
}

/** Predicted start of jobs of a queue, within or beyond their teams' shares, that would end too late. */
export interface LateStart {
    queueName: string;
    isWithinShare: boolean;
    /** Holds for jobs with more work than this. */
    aboveWorkMillicoreS: number;
    /** Predicted time from a job's arrival to its start; the end of the prediction if that is before the start. */
    startMs: number;
}

const stepMs = 200;
/** Jobs of the same size class are predicted together; a class spans a factor of the square root of two. */
const sizeClassesPerDoubling = 2;
/** Work that arrived within such a time counts as having arrived together. */
const ageClassMs = 500;
/** No job's value lasts longer in use; an objective beyond it only makes the prediction end before the loss of value, which refuses nothing. */
const maxHorizonMs = 30_000;
/** Bounds the effort of a prediction, since each kind takes a simulation; further kinds are not refused. */
const maxRefusedKinds = 16;
/** Arrivals go on as within this time if that is less than before: an overload ends sooner than it becomes certain. */
const recentMs = 500;
/** In a trial, 53 of 350 refused jobs would have been in time without this margin, and 36 of 310 with it; durations were off by up to half. */
const lossMarginFactor = 1.25;

function sizeClassOf(workMillicoreS: number): number {
    return Math.floor(Math.log2(Math.max(1, workMillicoreS)) * sizeClassesPerDoubling);
}

function lowerBoundOf(sizeClass: number): number {
    return 2 ** (sizeClass / sizeClassesPerDoubling);
}

function kindOf({ queueName, isWithinShare, jobWorkMillicoreS }: FluidWork): string {
    return `${queueName} ${isWithinShare} ${sizeClassOf(jobWorkMillicoreS)}`;
}

/** Joins work that is alike in all that the order goes by, so that the effort does not grow with the number of jobs. */
function joinAlike(works: readonly FluidWork[]): FluidWork[] {
    const joined = new Map<string, { work: FluidWork; count: number }>();
    for (const work of works) {
        const key = `${kindOf(work)} ${work.hasStarted} ${Math.floor(work.submittedMs / ageClassMs)}`;
        const known = joined.get(key);
        if (!known) {
            joined.set(key, { work: { ...work }, count: 1 });
            continue;
        }
        const part = 1 / ++known.count;
        const mean = (a: number, b: number): number => a + (b - a) * part;
        known.work.leftMillicoreS += work.leftMillicoreS;
        known.work.jobWorkMillicoreS = mean(known.work.jobWorkMillicoreS, work.jobWorkMillicoreS);
        known.work.submittedMs = mean(known.work.submittedMs, work.submittedMs);
        known.work.objectiveMs = mean(known.work.objectiveMs, work.objectiveMs);
        known.work.criticalPathMs = mean(known.work.criticalPathMs, work.criticalPathMs);
    }
    return [...joined.values()].map(each => each.work);
}

/** Work as it is served in one simulation. */
interface Item {
    work: FluidWork;
    kind: string;
    /** Until then, the work can be in time; until the second, it has value. */
    inTimeUntilMs: number;
    valuableUntilMs: number;
    leftMillicoreS: number;
    /** Stands for a job that arrives now, and takes no capacity. */
    isProbe: boolean;
}

function createItem(work: FluidWork, isProbe: boolean): Item {
    const { submittedMs, objectiveMs, criticalPathMs } = work;
    return {
        work,
        kind: kindOf(work),
        inTimeUntilMs: submittedMs + objectiveMs - criticalPathMs,
        valuableUntilMs: submittedMs + valueLossFactor * objectiveMs - criticalPathMs,
        leftMillicoreS: 0,
        isProbe,
    };
}

/** The order of `orderSteps` within a class of lateness. */
function compareItems({ work: a }: Item, { work: b }: Item): number {
    return Number(b.isWithinShare) - Number(a.isWithinShare) || Number(b.hasStarted) - Number(a.hasStarted) ||
        a.jobWorkMillicoreS - b.jobWorkMillicoreS || a.submittedMs - b.submittedMs;
}

/** The capacity that running tasks leave in each step. */
function freeByStep({ cpuMillicores, incoming, running }: PoolLoad, stepsCount: number): number[] {
    const free = Array.from({ length: stepsCount }, (_, step) =>
        cpuMillicores +
        incoming.filter(each => each.afterMs <= step * stepMs).reduce((sum, each) => sum + each.cpuMillicores, 0));
    for (const { cpuMillicores: used, remainingMs } of running) {
        const endStep = Math.min(stepsCount, Math.ceil(remainingMs / stepMs));
        for (let step = 0; step < endStep; step++) {
            free[step]! -= used;
        }
    }
    return free;
}

/** Returns when each probe would start; `ordered` is served in its order, by class of lateness, and arrivals of refused kinds are left out. */
function predictProbes(free: readonly number[], ordered: readonly Item[], refusedKinds: ReadonlySet<string>): Map<Item, number> {
    const starts = new Map<Item, number>();
    const isOpen = (item: Item): boolean => item.isProbe ? !starts.has(item) : item.leftMillicoreS > 0;
    ordered.forEach(item => item.leftMillicoreS = item.work.leftMillicoreS);
    let open = ordered.filter(item => item.isProbe || item.work.submittedMs <= 0 || !refusedKinds.has(item.kind));
    for (const [step, freeMillicores] of free.entries()) {
        const nowMs = step * stepMs;
        let left = freeMillicores * stepMs / 1_000;
        for (let lateness = 0; lateness <= 2 && left > 0; lateness++) {
            for (const item of open) {
                const itemLateness = nowMs <= item.inTimeUntilMs ? 0 : nowMs <= item.valuableUntilMs ? 1 : 2;
                if (itemLateness !== lateness || item.work.submittedMs > nowMs || !isOpen(item)) {
                    continue;
                }
                if (item.isProbe) {
                    starts.set(item, nowMs);
                    continue;
                }
                const taken = Math.min(left, item.leftMillicoreS);
                left -= taken;
                item.leftMillicoreS -= taken;
                if (left <= 0) {
                    break;
                }
            }
        }
        if (freeMillicores > 0) {
            open = open.filter(isOpen);
        }
    }
    return starts;
}

/** One job of the mean kind of each size class that has arrived, to be judged as if it arrived now. */
function createProbes(arrivals: readonly FluidWork[]): Item[] {
    const byKind = new Map<string, FluidWork[]>();
    for (const each of arrivals) {
        const alike = byKind.get(kindOf(each));
        if (alike) {
            alike.push(each);
        }
        else {
            byKind.set(kindOf(each), [each]);
        }
    }
    return [...byKind.values()].map(alike => {
        const mean = (value: (work: FluidWork) => number): number => alike.reduce((sum, each) => sum + value(each), 0) / alike.length;
        return createItem({
            ...alike[0]!,
            hasStarted: false,
            jobWorkMillicoreS: mean(each => each.jobWorkMillicoreS),
            leftMillicoreS: 0,
            submittedMs: 0,
            objectiveMs: mean(each => each.objectiveMs),
            criticalPathMs: mean(each => each.criticalPathMs),
        }, true);
    });
}

function workSince(arrivals: readonly FluidWork[], sinceMs: number): number {
    return arrivals.reduce((sum, each) => sum + (each.submittedMs >= -sinceMs ? each.leftMillicoreS : 0), 0);
}

/** Repeats the arrivals of the last seconds for as long as they are expected to go on. */
function repeatArrivals({ arrivals, arrivalsWindowMs, fullForMs }: PoolLoad, horizonMs: number): FluidWork[] {
    const untilMs = Math.min(fullForMs, horizonMs);
    const recentRate = workSince(arrivals, recentMs) / recentMs;
    const part = Math.min(1, recentRate * arrivalsWindowMs / Math.max(1, workSince(arrivals, arrivalsWindowMs)));
    const repeated: FluidWork[] = [];
    for (let shiftMs = arrivalsWindowMs; shiftMs - arrivalsWindowMs < untilMs; shiftMs += arrivalsWindowMs) {
        const shifted = arrivals.map(each => ({
            ...each,
            submittedMs: each.submittedMs + shiftMs,
            leftMillicoreS: part * each.leftMillicoreS,
        }));
        repeated.push(...shifted.filter(each => each.submittedMs < untilMs));
    }
    return joinAlike(repeated);
}

/**
 * Time from a job's arrival after which a predicted end counts as too late. Estimates and predictions are inaccurate, so that a job must miss
 * the time at which it loses all value by a margin.
 */
export function latestEndMs(objectiveMs: number): number {
    return lossMarginFactor * valueLossFactor * objectiveMs;
}

/** Returns the kinds of jobs that would end too late if they arrived now, with their predicted starts. */
export function predictLateStarts(load: PoolLoad): LateStart[] {
    if (load.fullForMs <= 0 || load.cpuMillicores <= 0) {
        return [];
    }
    const priorities = new Map(load.queues.map(each => [each.queueName, each.priority]));
    const priorityOf = ({ work }: Item): number => priorities.get(work.queueName)!;
    const probes = createProbes(load.arrivals.filter(each => priorities.has(each.queueName))).sort((a, b) =>
        Number(a.work.isWithinShare) - Number(b.work.isWithinShare) || priorityOf(b) - priorityOf(a) ||
        b.work.jobWorkMillicoreS - a.work.jobWorkMillicoreS
    );
    const horizonMs = Math.min(maxHorizonMs, Math.max(0, ...probes.map(({ work }) => latestEndMs(work.objectiveMs))));
    const free = freeByStep(load, Math.ceil(horizonMs / stepMs));
    const works = [...joinAlike(load.waiting), ...repeatArrivals(load, horizonMs)].map(work => createItem(work, false));
    const ordered = [...works, ...probes].sort(compareItems);
    const refusedKinds = new Set<string>();
    const late: LateStart[] = [];
    let starts = predictProbes(free, ordered, refusedKinds);
    for (const probe of probes) {
        const { work, kind } = probe;
        const startMs = starts.get(probe) ?? horizonMs;
        if (startMs + work.criticalPathMs <= latestEndMs(work.objectiveMs) || late.length >= maxRefusedKinds) {
            continue;
        }
        const { queueName, isWithinShare } = work;
        late.push({ queueName, isWithinShare, aboveWorkMillicoreS: lowerBoundOf(sizeClassOf(work.jobWorkMillicoreS)), startMs });
        refusedKinds.add(kind);
        starts = predictProbes(free, ordered, refusedKinds);
    }
    return late;
}
