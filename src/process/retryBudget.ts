/** Retries as a part of a service's traffic: each request earns a part of a retry, each retry spends a whole one. */

const earnedPerRequest = 0.1;
const largestBalance = 10;

export interface RetryBudget {
    recordRequest(service: string): void;
    canRetry(service: string): boolean;
    consumeRetry(service: string): void;
}

/** Creates budgets that begin full. */
export function createRetryBudget(): RetryBudget {
    const balances = new Map<string, number>();
    const balanceOf = (service: string): number => balances.get(service) ?? largestBalance;
    return {
        recordRequest: service => void balances.set(service, Math.min(largestBalance, balanceOf(service) + earnedPerRequest)),
        canRetry: service => balanceOf(service) >= 1,
        consumeRetry: service => void balances.set(service, balanceOf(service) - 1),
    };
}
