/** Polls a condition until it holds. */

const pollIntervalMs = 20;
/** Limits the wait so that a test fails instead of hanging. */
const waitTimeoutMs = 60_000;

/** Resolves once `check` holds; rejects after the timeout. `what` names the condition in the error. */
export async function waitUntil(what: string, check: () => boolean | Promise<boolean>): Promise<void> {
    const untilMs = performance.now() + waitTimeoutMs;
    while (!await check()) {
        if (performance.now() > untilMs) {
            throw new Error(`timed out after ${waitTimeoutMs} ms waiting until ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}
