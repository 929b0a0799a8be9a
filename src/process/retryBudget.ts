/** Limits retries to a fraction of a service's traffic: each request earns a fraction of a retry, and each retry costs one. */

const retriesPerRequest = 0.1;
const maximumBalance = 10;

export interface RetryBudget {
    recordRequest(service: string): void;
    canRetry(service: string): boolean;
    consumeRetry(service: string): void;
}

/** Creates the budgets, which start full. */
export function createRetryBudget(): RetryBudget {
    const balances = new Map<string, number>();
    const getBalance = (service: string): number => balances.get(service) ?? maximumBalance;
    return {
        recordRequest: service => void balances.set(service, Math.min(maximumBalance, getBalance(service) + retriesPerRequest)),
        canRetry: service => getBalance(service) >= 1,
        consumeRetry: service => void balances.set(service, getBalance(service) - 1),
    };
}
