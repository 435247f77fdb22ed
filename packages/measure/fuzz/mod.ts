/**
 * Properties of malformed input, checked with generated examples.
 *
 * @module
 */

export * from "./fuzz_property.ts";
export * from "./properties.ts";
