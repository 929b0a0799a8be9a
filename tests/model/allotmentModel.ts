/**
 * Model of the allotment protocol for state-space exploration: holders share one document that changes by
 * compare-and-swap. Responses get lost, writes take effect late, holders crash and are reclaimed, and the limit is lowered.
 */

interface SentWrite {
    expectedRevision: number;
    grantedSlots: number;
    state: "sent" | "applied" | "refused";
    /** Whether the holder still waits for the response. */
    isAwaited: boolean;
}

interface Holder {
    isAlive: boolean;
    capSlots: number;
    runningSlots: number;
    known: { revision: number; limitSlots: number; granted: number[] };
    writes: SentWrite[];
}

export interface ModelState {
    revision: number;
    limitSlots: number;
    granted: number[];
    isLowered: boolean;
    /** Whether the lowered limit has been accepted. */
    isAccepted: boolean;
    holders: Holder[];
}

/** Faults injected into the protocol; exploration must find a counterexample for each. */
export const injectedFaults = {
    none: "none",
    /** An allotment expires although its holder may be alive. */
    reclaimByTime: "reclaimByTime",
    /** A holder lends a slot to another without a write to the store. */
    loanOutsideStore: "loanOutsideStore",
    /** A holder sets its cap by a read alone while a write of its own is pending. */
    ignorePendingWrites: "ignorePendingWrites",
    /** A holder returns slots before it has stopped using them. */
    giveBackFirst: "giveBackFirst",
    /** A lowered limit is accepted before the allotments fit it. */
    acceptAtOnce: "acceptAtOnce",
} as const;
export type InjectedFault = (typeof injectedFaults)[keyof typeof injectedFaults];

export const modelBounds = { limitSlots: 2, loweredSlots: 1, highestRevision: 3, actionsCount: 12, sentWritesPerHolder: 2 } as const;

export interface ModelStep {
    action: string;
    next: ModelState;
}

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

/** The first holder starts with the whole limit, since every violation requires that slots are returned first. */
export function initialState(): ModelState {
    const granted = [modelBounds.limitSlots, 0];
    return {
        revision: 0,
        limitSlots: modelBounds.limitSlots,
        granted,
        isLowered: false,
        isAccepted: false,
        holders: granted.map(capSlots => ({
            isAlive: true,
            capSlots,
            runningSlots: 0,
            known: { revision: 0, limitSlots: modelBounds.limitSlots, granted },
            writes: [],
        })),
    };
}

/** Returns a compact key that is unique for each state. */
export function stateKey(state: ModelState): string {
    const holders = state.holders.map(holder => {
        const writes = holder.writes.map(write =>
            `${write.expectedRevision}${write.grantedSlots}${write.state[0]}${Number(write.isAwaited)}`
        );
        const { known } = holder;
        const counts = `${Number(holder.isAlive)}${holder.capSlots}${holder.runningSlots}`;
        return `${counts}${known.revision}${known.limitSlots}${known.granted.join("")}${writes.join("")}`;
    });
    return `${state.revision}${state.limitSlots}${state.granted.join("")}${Number(state.isLowered)}${Number(state.isAccepted)}|${
        holders.join("|")
    }`;
}

function update(state: ModelState, edit: (copy: ModelState) => void): ModelState {
    const holders = state.holders.map(holder => ({ ...holder, writes: holder.writes.map(write => ({ ...write })) }));
    const copy: ModelState = { ...state, granted: [...state.granted], holders };
    edit(copy);
    return copy;
}

/** Returns the cap after a read: the lowest grant in the document and in all pending writes. */
function boundedCap(holder: Holder, index: number, fault: InjectedFault): number {
    const granted = holder.known.granted[index]!;
    if (fault === injectedFaults.ignorePendingWrites) {
        return granted;
    }
    return Math.min(granted, ...holder.writes.map(write => write.grantedSlots));
}

/** Drops writes that can no longer take effect because the document has moved past the revision that guards them. */
function dropSettledWrites(holder: Holder): void {
    holder.writes = holder.writes.filter(write => write.expectedRevision >= holder.known.revision);
}

function observe(copy: ModelState, index: number, fault: InjectedFault): void {
    const holder = copy.holders[index]!;
    holder.known = { revision: copy.revision, limitSlots: copy.limitSlots, granted: [...copy.granted] };
    dropSettledWrites(holder);
    holder.capSlots = boundedCap(holder, index, fault);
}

function holderSteps(state: ModelState, index: number, fault: InjectedFault): ModelStep[] {
    const holder = state.holders[index]!;
    const steps: ModelStep[] = [];
    const add = (action: string, edit: (copy: ModelState, own: Holder) => void): void => {
        steps.push({ action: `${action} ${index}`, next: update(state, copy => edit(copy, copy.holders[index]!)) });
    };
    if (holder.runningSlots > 0) {
        add("end", (_copy, own) => own.runningSlots--);
    }
    if (!holder.isAlive) {
        return steps;
    }
    add("kill", (_copy, own) => own.isAlive = false);
    if (holder.runningSlots < holder.capSlots) {
        add("start", (_copy, own) => own.runningSlots++);
    }
    add("observe", copy => observe(copy, index, fault));
    const isWaiting = holder.writes.some(write => write.isAwaited);
    if (!isWaiting && holder.writes.length < modelBounds.sentWritesPerHolder) {
        const own = holder.known.granted[index]!;
        const free = holder.known.limitSlots - sum(holder.known.granted);
        const least = fault === injectedFaults.giveBackFirst ? 0 : holder.runningSlots;
        for (let grantedSlots = 0; grantedSlots <= own + Math.max(0, free); grantedSlots++) {
            if (grantedSlots !== own && (grantedSlots > own || grantedSlots >= least)) {
                [true, false].forEach(isAwaited =>
                    add(`write ${grantedSlots}${isAwaited ? "" : ", response lost"}`, (_copy, self) => {
                        self.capSlots = Math.min(self.capSlots, grantedSlots);
                        self.writes.push({ expectedRevision: self.known.revision, grantedSlots, state: "sent", isAwaited });
                    })
                );
            }
        }
    }
    holder.writes.forEach((write, number) => {
        if (write.isAwaited && write.state !== "sent") {
            add("response", (_copy, self) => {
                const [answered] = self.writes.splice(number, 1);
                if (answered!.state === "applied" && answered!.expectedRevision + 1 > self.known.revision) {
                    applyConfirmedWrite(self, index, answered!, fault);
                }
            });
        }
    });
    return steps;
}

/** Updates the holder's view after a confirmed write, if it has not seen a later revision. */
function applyConfirmedWrite(holder: Holder, index: number, write: SentWrite, fault: InjectedFault): void {
    const granted = [...holder.known.granted];
    if (holder.known.revision === write.expectedRevision) {
        granted[index] = write.grantedSlots;
        holder.known = { ...holder.known, revision: write.expectedRevision + 1, granted };
        dropSettledWrites(holder);
        holder.capSlots = boundedCap(holder, index, fault);
    }
}

/** Steps in which a write arrives at the store, in any order and with any delay. */
function storeSteps(state: ModelState): ModelStep[] {
    return state.holders.flatMap((holder, index) =>
        holder.writes.flatMap((write, number) => {
            if (write.state !== "sent") {
                return [];
            }
            const next = update(state, copy => {
                const arrived = copy.holders[index]!.writes[number]!;
                arrived.state = copy.revision === arrived.expectedRevision ? "applied" : "refused";
                if (arrived.state === "applied") {
                    copy.granted[index] = arrived.grantedSlots;
                    copy.revision++;
                }
            });
            return [{ action: `arrive ${index}.${number}`, next }];
        })
    );
}

function operatorSteps(state: ModelState, fault: InjectedFault): ModelStep[] {
    const steps: ModelStep[] = [];
    if (!state.isLowered) {
        steps.push({
            action: "lower limit",
            next: update(state, copy => {
                copy.limitSlots = modelBounds.loweredSlots;
                copy.isLowered = true;
                copy.revision++;
            }),
        });
    }
    const fits = sum(state.granted) <= state.limitSlots || fault === injectedFaults.acceptAtOnce;
    if (state.isLowered && !state.isAccepted && fits) {
        steps.push({ action: "accept", next: update(state, copy => copy.isAccepted = true) });
    }
    return steps;
}

/** A holder is reclaimed only after it is gone and its requests have ended, for which the longest run time is waited. */
function reclaimSteps(state: ModelState, fault: InjectedFault): ModelStep[] {
    return state.holders.flatMap((holder, index) => {
        const isDue = fault === injectedFaults.reclaimByTime || (!holder.isAlive && holder.runningSlots === 0);
        if (!isDue || state.granted[index] === 0) {
            return [];
        }
        const next = update(state, copy => {
            copy.granted[index] = 0;
            copy.revision++;
        });
        return [{ action: `reclaim ${index}`, next }];
    });
}

function loanSteps(state: ModelState, fault: InjectedFault): ModelStep[] {
    const [lender, borrower] = state.holders;
    if (fault !== injectedFaults.loanOutsideStore || !lender!.isAlive || lender!.capSlots <= lender!.runningSlots) {
        return [];
    }
    const next = update(state, copy => {
        copy.holders[0]!.capSlots--;
        copy.holders[1]!.capSlots++;
    });
    return borrower!.isAlive ? [{ action: "lend", next }] : [];
}

/** Returns all steps that can follow a state, up to the highest revision. */
export function nextSteps(state: ModelState, fault: InjectedFault): ModelStep[] {
    if (state.revision > modelBounds.highestRevision) {
        return [];
    }
    const holders = state.holders.flatMap((_, index) => holderSteps(state, index, fault));
    return [
        ...holders,
        ...storeSteps(state),
        ...operatorSteps(state, fault),
        ...reclaimSteps(state, fault),
        ...loanSteps(state, fault),
    ];
}

/** Safety property: the running slots never exceed the limit in effect. */
export function isSafe(state: ModelState): boolean {
    const limitSlots = state.isAccepted ? modelBounds.loweredSlots : modelBounds.limitSlots;
    return sum(state.holders.map(holder => holder.runningSlots)) <= limitSlots;
}
