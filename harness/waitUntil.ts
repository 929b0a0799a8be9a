/** Waiting for something to become true. */

const pollIntervalMs = 20;
/** A wait that is not over by then will never be; the test fails instead of hanging. */
const giveUpMs = 60_000;

/** Resolves once `check` holds. */
export async function waitUntil(what: string, check: () => boolean | Promise<boolean>): Promise<void> {
    const untilMs = performance.now() + giveUpMs;
    while (!await check()) {
        if (performance.now() > untilMs) {
            throw new Error(`waited ${giveUpMs} ms in vain until ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}
