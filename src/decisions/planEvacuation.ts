/**
 * Chooses which long-running tasks leave an evacuated availability zone now. It is designed for a zone with a third of the workers,
 * whose steps allow one or a few disruptions at a time, while the other zones have little room because queues surge.
 *
 * A task is stopped only if its step allows the disruption and room for it is reserved elsewhere: stopped without room, it would be
 * unavailable for as long as the evacuation lasts, while its worker goes on running it otherwise. The smallest tasks go first, since more of
 * them fit into the same room.
 */

/** Tasks of one step that leave together: one task, or all tasks of a gang. */
export interface EvacuationUnit {
    step: string;
    taskCount: number;
    cpuMillicores: number;
}

/**
 * Returns the units to stop now. A step without an entry in `disruptionsAllowedByStep` allows any number. `reserveRoom` reserves the room of
 * the whole unit elsewhere, or returns `false`.
 */
export function planEvacuation<Unit extends EvacuationUnit>(
    units: readonly Unit[],
    disruptionsAllowedByStep: ReadonlyMap<string, number>,
    reserveRoom: (unit: Unit) => boolean,
): Unit[] {
    const allowedByStep = new Map(disruptionsAllowedByStep);
    const size = ({ taskCount, cpuMillicores }: Unit): number => taskCount * cpuMillicores;
    return [...units].sort((left, right) => size(left) - size(right)).filter(unit => {
        const allowedCount = allowedByStep.get(unit.step) ?? Number.POSITIVE_INFINITY;
        if (unit.taskCount > allowedCount || !reserveRoom(unit)) {
            return false;
        }
        allowedByStep.set(unit.step, allowedCount - unit.taskCount);
        return true;
    });
}
