/**
 * Fuzz properties: how the system must react to malformed input.
 *
 * @module
 */

export * from "./fuzz_property.ts";
export * from "./properties.ts";
