/** Retries as a part of a service's traffic: each request earns a part of a retry, each retry spends a whole one. */

const earnedPerRequest = 0.1;
const largestBalance = 10;

export interface RetryBudget {
    noteRequest(service: string): void;
    hasRetry(service: string): boolean;
    spend(service: string): void;
}

/** Creates budgets that begin full. */
export function createRetryBudget(): RetryBudget {
    const balances = new Map<string, number>();
    const balanceOf = (service: string): number => balances.get(service) ?? largestBalance;
    return {
        noteRequest: service => void balances.set(service, Math.min(largestBalance, balanceOf(service) + earnedPerRequest)),
        hasRetry: service => balanceOf(service) >= 1,
        spend: service => void balances.set(service, balanceOf(service) - 1),
    };
}
