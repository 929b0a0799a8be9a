/**
 * A small specification of the allotment protocol: holders, one document with compare-and-swap, writes whose answers are
 * lost and that may take effect later, kills, reclaim and a lowered limit.
 */

/** A write that was sent. */
interface SentWrite {
    expectedRevision: number;
    grantedSlots: number;
    state: "sent" | "applied" | "refused";
    /** Whether the holder still waits for the answer. */
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

/** What is broken on purpose; the checker must find each. */
export const breakages = {
    none: "none",
    /** An allotment lapses though its holder may be alive. */
    reclaimByTime: "reclaimByTime",
    /** A holder lends to another without writing it down. */
    loanOutsideStore: "loanOutsideStore",
    /** A holder takes a read as the whole truth while a write of its own is on its way. */
    ignorePendingWrites: "ignorePendingWrites",
    /** A holder gives slots back before it has stopped using them. */
    giveBackFirst: "giveBackFirst",
    /** A lowered limit is accepted before the parts fit it. */
    acceptAtOnce: "acceptAtOnce",
} as const;
export type Breakage = (typeof breakages)[keyof typeof breakages];

export const modelBounds = { limitSlots: 2, loweredSlots: 1, highestRevision: 3, actionsCount: 12, sentWritesPerHolder: 2 } as const;

export interface ModelStep {
    action: string;
    next: ModelState;
}

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

/** The first holder has the whole limit: whatever can go wrong begins with giving some of it back. */
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

/** A short text that is the same for equal states only. */
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

function change(state: ModelState, edit: (copy: ModelState) => void): ModelState {
    const holders = state.holders.map(holder => ({ ...holder, writes: holder.writes.map(write => ({ ...write })) }));
    const copy: ModelState = { ...state, granted: [...state.granted], holders };
    edit(copy);
    return copy;
}

/** The cap that a read allows: no more than any write on its way may still leave. */
function boundedCap(holder: Holder, index: number, breakage: Breakage): number {
    const granted = holder.known.granted[index]!;
    if (breakage === breakages.ignorePendingWrites) {
        return granted;
    }
    return Math.min(granted, ...holder.writes.map(write => write.grantedSlots));
}

/** Forgets writes that can no longer take effect: the document has moved past the revision that guards them. */
function settleWrites(holder: Holder): void {
    holder.writes = holder.writes.filter(write => write.expectedRevision >= holder.known.revision);
}

function observe(copy: ModelState, index: number, breakage: Breakage): void {
    const holder = copy.holders[index]!;
    holder.known = { revision: copy.revision, limitSlots: copy.limitSlots, granted: [...copy.granted] };
    settleWrites(holder);
    holder.capSlots = boundedCap(holder, index, breakage);
}

function holderSteps(state: ModelState, index: number, breakage: Breakage): ModelStep[] {
    const holder = state.holders[index]!;
    const steps: ModelStep[] = [];
    const add = (action: string, edit: (copy: ModelState, own: Holder) => void): void => {
        steps.push({ action: `${action} ${index}`, next: change(state, copy => edit(copy, copy.holders[index]!)) });
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
    add("observe", copy => observe(copy, index, breakage));
    const isWaiting = holder.writes.some(write => write.isAwaited);
    if (!isWaiting && holder.writes.length < modelBounds.sentWritesPerHolder) {
        const own = holder.known.granted[index]!;
        const free = holder.known.limitSlots - sum(holder.known.granted);
        const least = breakage === breakages.giveBackFirst ? 0 : holder.runningSlots;
        for (let grantedSlots = 0; grantedSlots <= own + Math.max(0, free); grantedSlots++) {
            if (grantedSlots !== own && (grantedSlots > own || grantedSlots >= least)) {
                [true, false].forEach(isAwaited =>
                    add(`write ${grantedSlots}${isAwaited ? "" : ", answer lost"}`, (_copy, self) => {
                        self.capSlots = Math.min(self.capSlots, grantedSlots);
                        self.writes.push({ expectedRevision: self.known.revision, grantedSlots, state: "sent", isAwaited });
                    })
                );
            }
        }
    }
    holder.writes.forEach((write, number) => {
        if (write.isAwaited && write.state !== "sent") {
            add("answer", (_copy, self) => {
                const [answered] = self.writes.splice(number, 1);
                if (answered!.state === "applied" && answered!.expectedRevision + 1 > self.known.revision) {
                    observeOwnWrite(self, index, answered!, breakage);
                }
            });
        }
    });
    return steps;
}

/** After a confirmed write the holder knows the document as it wrote it. */
function observeOwnWrite(holder: Holder, index: number, write: SentWrite, breakage: Breakage): void {
    const granted = [...holder.known.granted];
    if (holder.known.revision === write.expectedRevision) {
        granted[index] = write.grantedSlots;
        holder.known = { ...holder.known, revision: write.expectedRevision + 1, granted };
        settleWrites(holder);
        holder.capSlots = boundedCap(holder, index, breakage);
    }
}

/** Writes that arrive at the store, in any order and however late. */
function storeSteps(state: ModelState): ModelStep[] {
    return state.holders.flatMap((holder, index) =>
        holder.writes.flatMap((write, number) => {
            if (write.state !== "sent") {
                return [];
            }
            const next = change(state, copy => {
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

function operatorSteps(state: ModelState, breakage: Breakage): ModelStep[] {
    const steps: ModelStep[] = [];
    if (!state.isLowered) {
        steps.push({
            action: "lower limit",
            next: change(state, copy => {
                copy.limitSlots = modelBounds.loweredSlots;
                copy.isLowered = true;
                copy.revision++;
            }),
        });
    }
    const fits = sum(state.granted) <= state.limitSlots || breakage === breakages.acceptAtOnce;
    if (state.isLowered && !state.isAccepted && fits) {
        steps.push({ action: "accept", next: change(state, copy => copy.isAccepted = true) });
    }
    return steps;
}

/** Reclaim comes after the holder is gone and its requests have ended: their longest run time has passed. */
function reclaimSteps(state: ModelState, breakage: Breakage): ModelStep[] {
    return state.holders.flatMap((holder, index) => {
        const isDue = breakage === breakages.reclaimByTime || (!holder.isAlive && holder.runningSlots === 0);
        if (!isDue || state.granted[index] === 0) {
            return [];
        }
        const next = change(state, copy => {
            copy.granted[index] = 0;
            copy.revision++;
        });
        return [{ action: `reclaim ${index}`, next }];
    });
}

function loanSteps(state: ModelState, breakage: Breakage): ModelStep[] {
    const [lender, borrower] = state.holders;
    if (breakage !== breakages.loanOutsideStore || !lender!.isAlive || lender!.capSlots <= lender!.runningSlots) {
        return [];
    }
    const next = change(state, copy => {
        copy.holders[0]!.capSlots--;
        copy.holders[1]!.capSlots++;
    });
    return borrower!.isAlive ? [{ action: "lend", next }] : [];
}

/** All states that can follow; bounded by the revision. */
export function nextSteps(state: ModelState, breakage: Breakage): ModelStep[] {
    if (state.revision > modelBounds.highestRevision) {
        return [];
    }
    const holders = state.holders.flatMap((_, index) => holderSteps(state, index, breakage));
    return [
        ...holders,
        ...storeSteps(state),
        ...operatorSteps(state, breakage),
        ...reclaimSteps(state, breakage),
        ...loanSteps(state, breakage),
    ];
}

/** What must always hold: no more runs than the limit that is in force. */
export function isSafe(state: ModelState): boolean {
    const limitSlots = state.isAccepted ? modelBounds.loweredSlots : modelBounds.limitSlots;
    return sum(state.holders.map(holder => holder.runningSlots)) <= limitSlots;
}
