/** Explores all states of a model breadth first, up to its bounds. */

export interface Exploration<State> {
    statesCount: number;
    /** Actions that lead to the first unsafe state, or `undefined` if there is none. */
    counterexample: string[] | undefined;
    unsafeState: State | undefined;
}

export interface ExploreOptions<State> {
    initial: State;
    /** Tells states apart. */
    key(state: State): string;
    /** Longest path that is followed. */
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

/** Explores until all reachable states were seen or an unsafe one was found. */
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
