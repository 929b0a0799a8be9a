/** What the specs of workers that restart under their ids share: simulations that differ in when the worker restarts. */
import assert from "node:assert/strict";
import { createSeededRandom } from "../../harness/random.js";
import type { ModelWorker } from "../scheduling/modelWorker.js";
import { callKinds } from "./lateCommands.js";
import { createRestartSimulation, type RestartSimulation } from "./restartSimulation.js";

const seed = 1;
/** Clock of a new life that is far behind the former one. */
export const behindMs = 0;
/** When the worker restarts, since its last listing was sent. */
const phasesMs = [0, 200, 400, 600, 800];

/** Workers with room for these numbers of tasks. */
export function createSimulation(capacities: readonly number[]): RestartSimulation {
    return createRestartSimulation({ random: createSeededRandom(seed), capacities });
}

/** Fails with the violations of all simulations, and with what the owners of the first broken one decided. */
export function assertNoViolations(simulations: readonly RestartSimulation[], mayLeaveOutLeases = false): void {
    simulations.forEach(each => each.close());
    const broken = simulations.filter(({ violations }) => violations.length > 0);
    const detail = [
        `${broken.length} of ${simulations.length} histories are broken`,
        ...broken.flatMap(({ violations }) => violations),
        ...broken[0]?.decisions ?? [],
    ];
    assert.equal(broken.length, 0, detail.join("\n"));
    assert.ok(simulations.every(each => each.leftOutCount() === 0), "a late command was left out");
    assert.ok(mayLeaveOutLeases || simulations.every(each => each.leasesLeftOutCount() === 0), "a late listing extended no lease");
}

/** Plays the history for a restart at each of the phases. */
export async function playPhases(play: (phaseMs: number) => Promise<RestartSimulation>): Promise<RestartSimulation[]> {
    const simulations: RestartSimulation[] = [];
    for (const phaseMs of phasesMs) {
        simulations.push(await play(phaseMs));
    }
    return simulations;
}

/** Runs until a listing of the worker has been left without a response, which is carried out late. */
export async function holdListing(simulation: RestartSimulation, worker: ModelWorker, carriedOutAfterMs: number): Promise<void> {
    const heldCount = simulation.heldCount();
    simulation.hold(callKinds.list, worker, carriedOutAfterMs);
    await simulation.runUntil("a listing is held", () => simulation.heldCount() > heldCount);
}

/** Runs until the worker has carried out short tasks whose ends are acknowledged. */
export async function acknowledgeEnds(simulation: RestartSimulation, worker: ModelWorker): Promise<void> {
    simulation.submit("before", { tasksCount: 3, durationMs: 300 });
    await simulation.runUntil(
        "the ends are acknowledged",
        () =>
            [0, 1, 2].every(index => simulation.startsCount(`before.0.0.${index}`) === 1) && worker.running.size === 0 &&
            worker.ends.length === 0,
    );
    await simulation.run(1_000);
}
