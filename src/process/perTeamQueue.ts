/** Queue of one service and priority class that keeps the items of each team in order of arrival. */

export interface PerTeamQueue<T> {
    enqueue(team: string, item: T): void;
    /** Adds an item ahead of the team's others. */
    enqueueFirst(team: string, item: T): void;
    /** Returns the team's next item without removing it. */
    peek(team: string): T | undefined;
    /** Removes an item from any position; returns whether it was queued. */
    remove(team: string, item: T): boolean;
    /** Teams that have items in the queue. */
    teams(): string[];
    items(): T[];
    size(): number;
}

export function createPerTeamQueue<T>(): PerTeamQueue<T> {
    // A set keeps insertion order and removes any item in constant time.
    const teams = new Map<string, Set<T>>();
    let size = 0;

    const getItems = (team: string): Set<T> => {
        let items = teams.get(team);
        if (!items) {
            items = new Set();
            teams.set(team, items);
        }
        return items;
    };
    const remove = (team: string, item: T): boolean => {
        const items = teams.get(team);
        if (!items?.delete(item)) {
            return false;
        }
        size--;
        if (items.size === 0) {
            teams.delete(team);
        }
        return true;
    };
    return {
        enqueue: (team, item) => {
            getItems(team).add(item);
            size++;
        },
        enqueueFirst: (team, item) => {
            teams.set(team, new Set([item, ...getItems(team)]));
            size++;
        },
        peek: team => teams.get(team)?.values().next().value,
        remove,
        teams: () => [...teams.keys()],
        items: () => [...teams.values()].flatMap(items => [...items]),
        size: () => size,
    };
}
