/**
 * Typed results. `ts-results` is a CommonJS package whose named exports an ES module cannot import, so this module
 * takes them from its default export once.
 */
import tsResults from "ts-results";

export type { Result } from "ts-results";
export const { Ok, Err } = tsResults;
