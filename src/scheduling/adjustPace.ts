/** Adjusts the pace of fillers on a worker by what its latest listing measured. */
import { paceFillers } from "../decisions/paceFillers.js";
import { commandKinds, findStep, type SchedulerState } from "./schedulerState.js";
import { runPhases, type WorkerRecord } from "./workerRecord.js";

/** Each measurement covers half a second, so the effect of a new pace shows only after that. */
const paceIntervalMs = 500;

/** Adjusts the pace of the fillers to the latency of the serving tasks on the same worker. */
export function adjustPace(state: SchedulerState, worker: WorkerRecord, nowMs: number): void {
    if (nowMs - worker.pacedAtMs < paceIntervalMs) {
        return;
    }
    const running = [...worker.runs.values()].filter(run => run.phase === runPhases.running);
    // The run of a job that is over has no step; it is about to be stopped.
    const fillers = running.filter(run => run.isFiller && findStep(state, run));
    if (fillers.length === 0) {
        return;
    }
    worker.pacedAtMs = nowMs;
    const serving = running.flatMap(run => {
        const targetMs = findStep(state, run)?.spec.latencyTargetMs;
        return run.isServing && targetMs !== undefined ? [{ tailLatencyMs: run.measured, targetMs }] : [];
    });
    const percent = paceFillers(Math.min(...fillers.map(run => run.pacePercent)), serving);
    for (const run of fillers.filter(each => each.pacePercent !== percent)) {
        run.pacePercent = percent;
        state.commands.push({ kind: commandKinds.pace, run, percent });
        state.onDecision({
            what: "pace",
            jobId: run.jobId,
            taskName: run.taskName,
            runId: run.runId,
            workerId: run.workerId,
            detail: `${percent} %`,
        });
    }
}
