/**
 * Typed results. `ts-results` is a CommonJS package whose named exports cannot be imported by an ES module, so this module
 * re-exports them from its default export.
 */
import tsResults from "ts-results";

export type { Result } from "ts-results";
export const { Ok, Err } = tsResults;
