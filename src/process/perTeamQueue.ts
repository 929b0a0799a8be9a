/** Requests of one service and one priority class that wait, by team in order of arrival. */

export interface WaitingLane<T> {
    push(team: string, item: T): void;
    /** Puts an item before the team's others. */
    unshift(team: string, item: T): void;
    /** The team's next item, which stays. */
    first(team: string): T | undefined;
    /** Takes one item out of the middle; tells whether it was there. */
    remove(team: string, item: T): boolean;
    /** Teams that have items waiting. */
    teams(): string[];
    items(): T[];
    size(): number;
}

/** Creates an empty lane. */
export function createWaitingLane<T>(): WaitingLane<T> {
    // A set keeps the order of insertion and takes any item out in constant time.
    const teams = new Map<string, Set<T>>();
    let size = 0;

    const itemsOf = (team: string): Set<T> => {
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
        push: (team, item) => {
            itemsOf(team).add(item);
            size++;
        },
        unshift: (team, item) => {
            teams.set(team, new Set([item, ...itemsOf(team)]));
            size++;
        },
        first: team => teams.get(team)?.values().next().value,
        remove,
        teams: () => [...teams.keys()],
        items: () => [...teams.values()].flatMap(items => [...items]),
        size: () => size,
    };
}
