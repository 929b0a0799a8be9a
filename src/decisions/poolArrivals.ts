/** What arrives for a pool. */
export interface PoolArrivals {
    /** Current rate of arriving work, in millicore-seconds per second. */
    arrivingCpuMillicores: number;
    /** Growth of that against the second before, in millicores per second; 0 if it falls. */
    arrivingGrowthMillicoresPerS: number;
    /** Number of jobs that the arriving work comes from. */
    arrivingJobsCount: number;
    /** Number of jobs that arrive in the same time while the queues are calm; more than 0. */
    usualJobsCount: number;
    /** Number of jobs that arrived within the window of the peak. */
    recentJobsCount: number;
    /** Highest rate of the last minutes, measured over a longer window and decaying. */
    peakCpuMillicores: number;
    /** The jobs of the last two seconds by the CPU that they use while they run; `undefined` if that is not tracked. */
    beginning?: BeginningDemand;
}

/** Short enough to show a surge that begins at once, before the count of a whole second does. */
export const latestWindowS = 0.4;

/** The jobs that arrived within the last two seconds, by the CPU that they use while they run: their work divided by their critical path. */
export interface BeginningDemand {
    /** Number of jobs that arrived within the last `latestWindowS`. */
    latestJobsCount: number;
    /** Mean CPU of a job. */
    jobMillicores: number;
    /** Highest rate at which such demand began, over two seconds of the last minutes, decaying. */
    peakMillicoresPerS: number;
    /** Mean critical path of the jobs, weighted by their CPU; 0 if none arrived. */
    durationS: number;
}
