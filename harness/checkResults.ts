/** Checks callers' results against the backend servers' journals, independently of the product's own counters. */
import type { JournalEntry } from "../stand-ins/backendServer.js";
import { callOutcomes, type CallResult } from "./callService.js";

export interface Violations {
    /** Calls whose response was truncated, belonged to another call or had no outcome header. */
    wrongAnswers: string[];
    /** Calls answered "not-run" that had already started, or that started later with no other response to account for the run. */
    falseNotRun: string[];
    /** Calls answered "done" that appear in no journal. */
    falseDone: string[];
    /** Non-repeatable calls that ran more than once. */
    doubleRuns: string[];
    /** Peak concurrency of each team that exceeded its limit. */
    overLimit: Record<string, number>;
}

/** Maximum number of concurrent runs, by team. */
export function peakConcurrencyByTeam(journal: readonly JournalEntry[]): Record<string, number> {
    const changes = journal.flatMap(entry => [
        { team: entry.team, atMs: entry.startMs, change: 1 },
        { team: entry.team, atMs: entry.endMs ?? Number.POSITIVE_INFINITY, change: -1 },
    ]);
    // At equal timestamps, ends sort before starts so that back-to-back runs do not count as concurrent.
    changes.sort((a, b) => a.atMs - b.atMs || a.change - b.change);
    const running: Record<string, number> = {};
    const highest: Record<string, number> = {};
    changes.forEach(({ team, change }) => {
        running[team] = (running[team] ?? 0) + change;
        highest[team] = Math.max(highest[team] ?? 0, running[team]);
    });
    return highest;
}

/** Total run time of completed runs, by team. */
export function slotTimeMsByTeam(journal: readonly JournalEntry[]): Record<string, number> {
    const sums: Record<string, number> = {};
    journal.filter(entry => entry.endMs !== undefined).forEach(entry =>
        sums[entry.team] = (sums[entry.team] ?? 0) + entry.endMs! - entry.startMs
    );
    return sums;
}

/** Checks all results. `mayRepeat` returns whether the call with a token may run more than once. */
export function checkResults(
    results: readonly CallResult[],
    journal: readonly JournalEntry[],
    limitSlots: Readonly<Record<string, number>>,
    mayRepeat: (token: string) => boolean,
): Violations {
    const runs = new Map<string, JournalEntry[]>();
    journal.forEach(entry => runs.set(entry.token, [...(runs.get(entry.token) ?? []), entry]));
    const tokensThatMayHaveRun = new Set(results.filter(result => result.outcome !== callOutcomes.notRun).map(result => result.token));
    const isFalseNotRun = (result: CallResult): boolean =>
        (runs.get(result.token) ?? []).some(run => run.startMs < result.endedAtMs || !tokensThatMayHaveRun.has(result.token));
    const tokensWhere = (passes: (result: CallResult) => boolean): string[] => results.filter(passes).map(result => result.token);
    const concurrency = Object.entries(peakConcurrencyByTeam(journal));
    return {
        wrongAnswers: tokensWhere(result => result.isWrong),
        falseNotRun: tokensWhere(result => result.outcome === callOutcomes.notRun && isFalseNotRun(result)),
        falseDone: tokensWhere(result => result.outcome === callOutcomes.done && !runs.has(result.token)),
        doubleRuns: [...runs].filter(([token, entries]) => entries.length > 1 && !mayRepeat(token)).map(([token]) => token),
        overLimit: Object.fromEntries(concurrency.filter(([team, count]) => count > (limitSlots[team] ?? Number.POSITIVE_INFINITY))),
    };
}

/** Whether every list of violations is empty. */
export function hasNoViolations(verdict: Violations): boolean {
    const { wrongAnswers, falseNotRun, falseDone, doubleRuns, overLimit } = verdict;
    return [wrongAnswers, falseNotRun, falseDone, doubleRuns, Object.keys(overLimit)].every(list => list.length === 0);
}
