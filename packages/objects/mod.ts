/**
 * Schemas, parsing and checks of the objects that operators publish.
 *
 * @module
 */

export * from "./address.ts";
export * from "./apply_set_change.ts";
export * from "./budget.ts";
export * from "./check_object_set.ts";
export * from "./describe_change.ts";
export * from "./diff_object_sets.ts";
export * from "./file_problem.ts";
export * from "./format_object_set.ts";
export * from "./host.ts";
export * from "./min_available_hosts.ts";
export * from "./name.ts";
export * from "./object_set.ts";
export * from "./parse_object_set.ts";
export * from "./parse_settings.ts";
export * from "./pool.ts";
export * from "./problem.ts";
export * from "./service.ts";
export * from "./set_change.ts";
export * from "./split_address.ts";
export * from "./team.ts";
export * from "./wave.ts";
