/**
 * Schemas and checks of the named objects that operators publish.
 *
 * @module
 */

export * from "./apply_set_change.ts";
export * from "./budget.ts";
export * from "./check_object_set.ts";
export * from "./host.ts";
export * from "./name.ts";
export * from "./object_set.ts";
export * from "./pool.ts";
export * from "./problem.ts";
export * from "./service.ts";
export * from "./set_change.ts";
export * from "./team.ts";
export * from "./wave.ts";
