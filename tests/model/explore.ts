/** Breadth-first exploration of a model's states, up to a maximum depth. */

export interface Exploration<State> {
    statesCount: number;
    /** Actions that lead to the first unsafe state, or `undefined` if there is none. */
    counterexample: string[] | undefined;
    unsafeState: State | undefined;
}

export interface ExploreOptions<State> {
    initial: State;
    /** Identifies a state; of several states with the same key, only the first is explored. */
    key(state: State): string;
    /** Maximum number of actions in a path. */
    maxDepth: number;
    next(state: State): { action: string; next: State }[];
    isSafe(state: State): boolean;
}

interface Visit<State> {
    state: State;
    action: string;
    from: Visit<State> | undefined;
}

function pathTo<State>(visit: Visit<State>): string[] {
    return visit.from ? [...pathTo(visit.from), visit.action] : [];
}

/** Explores until all states within the maximum depth were visited or an unsafe one was found. */
export function explore<State>(options: ExploreOptions<State>): Exploration<State> {
    const seen = new Set([options.key(options.initial)]);
    let frontier: Visit<State>[] = [{ state: options.initial, action: "", from: undefined }];
    for (let length = 0; length < options.maxDepth && frontier.length > 0; length++) {
        const found: Visit<State>[] = [];
        for (const visit of frontier) {
            for (const { action, next } of options.next(visit.state)) {
                const key = options.key(next);
                if (seen.has(key)) {
                    continue;
                }
                seen.add(key);
                const reached = { state: next, action, from: visit };
                if (!options.isSafe(next)) {
                    return { statesCount: seen.size, counterexample: pathTo(reached), unsafeState: next };
                }
                found.push(reached);
            }
        }
        frontier = found;
    }
    return { statesCount: seen.size, counterexample: undefined, unsafeState: undefined };
}
