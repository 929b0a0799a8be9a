/** Names of tasks as workers know them. */

/** Formats a task's name from its job, occurrence, step and index. */
export function formatTaskName(jobId: string, occurrence: number, stepIndex: number, taskIndex: number): string {
    return `${jobId}.${occurrence}.${stepIndex}.${taskIndex}`;
}

export interface TaskIdentity {
    jobId: string;
    occurrence: number;
    stepIndex: number;
    taskIndex: number;
}

/** Parses a task's name; returns `undefined` if it does not have the format of `formatTaskName`. */
export function parseTaskName(taskName: string): TaskIdentity | undefined {
    const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(taskName);
    return match ?
        { jobId: match[1]!, occurrence: Number(match[2]), stepIndex: Number(match[3]), taskIndex: Number(match[4]) } :
        undefined;
}
