/** Judges callers' results by the backend servers' journals: the product's own counters prove nothing. */
import type { JournalEntry } from "../stand-ins/backendServer.js";
import { callOutcomes, type CallResult } from "./callService.js";

export interface Violations {
    /** Answers that were not whole or not the caller's own. */
    wrongAnswers: string[];
    /** Calls answered "not-run" that had run by then, or that ran later though no other answer tells of it. */
    falseNotRun: string[];
    /** Calls answered "done" of which no run is known. */
    falseDone: string[];
    /** Calls that may not be repeated and ran more than once. */
    doubleRuns: string[];
    /** Teams that had more running than their limit, with the highest count. */
    overLimit: Record<string, number>;
}

/** Highest number of runs at the same time, by team. */
export function peakConcurrencyByTeam(journal: readonly JournalEntry[]): Record<string, number> {
    const changes = journal.flatMap(entry => [
        { team: entry.team, atMs: entry.startMs, change: 1 },
        { team: entry.team, atMs: entry.endMs ?? Number.POSITIVE_INFINITY, change: -1 },
    ]);
    // At the same instant an end goes before a start.
    changes.sort((a, b) => a.atMs - b.atMs || a.change - b.change);
    const running: Record<string, number> = {};
    const highest: Record<string, number> = {};
    changes.forEach(({ team, change }) => {
        running[team] = (running[team] ?? 0) + change;
        highest[team] = Math.max(highest[team] ?? 0, running[team]);
    });
    return highest;
}

/** Slot time by team, in milliseconds. */
export function slotTimeMsByTeam(journal: readonly JournalEntry[]): Record<string, number> {
    const sums: Record<string, number> = {};
    journal.filter(entry => entry.endMs !== undefined).forEach(entry =>
        sums[entry.team] = (sums[entry.team] ?? 0) + entry.endMs! - entry.startMs
    );
    return sums;
}

/** Judges all results of a run. `mayRepeat` tells whether a token's call may run more than once. */
export function checkResults(
    results: readonly CallResult[],
    journal: readonly JournalEntry[],
    limitSlots: Readonly<Record<string, number>>,
    mayRepeat: (token: string) => boolean,
): Violations {
    const runs = new Map<string, JournalEntry[]>();
    journal.forEach(entry => runs.set(entry.token, [...(runs.get(entry.token) ?? []), entry]));
    const told = new Set(results.filter(result => result.outcome !== callOutcomes.notRun).map(result => result.token));
    const isFalseNotRun = (result: CallResult): boolean =>
        (runs.get(result.token) ?? []).some(run => run.startMs < result.endedAtMs || !told.has(result.token));
    const tokensOf = (passes: (result: CallResult) => boolean): string[] => results.filter(passes).map(result => result.token);
    const concurrency = Object.entries(peakConcurrencyByTeam(journal));
    return {
        wrongAnswers: tokensOf(result => result.isWrong),
        falseNotRun: tokensOf(result => result.outcome === callOutcomes.notRun && isFalseNotRun(result)),
        falseDone: tokensOf(result => result.outcome === callOutcomes.done && !runs.has(result.token)),
        doubleRuns: [...runs].filter(([token, entries]) => entries.length > 1 && !mayRepeat(token)).map(([token]) => token),
        overLimit: Object.fromEntries(concurrency.filter(([team, count]) => count > (limitSlots[team] ?? Number.POSITIVE_INFINITY))),
    };
}

/** Whether a verdict found nothing. */
export function hasNoViolations(verdict: Violations): boolean {
    const { wrongAnswers, falseNotRun, falseDone, doubleRuns, overLimit } = verdict;
    return [wrongAnswers, falseNotRun, falseDone, doubleRuns, Object.keys(overLimit)].every(list => list.length === 0);
}
