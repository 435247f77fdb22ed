/**
 * Stand-ins of external systems for tests, in memory and over HTTP: the
 * platform's log, host list, store and executors, worker agents and a load
 * balancer.
 *
 * @module
 */

export type { Standin } from "./_http.ts";
export * from "./balancer_standin.ts";
export * from "./executor_standin.ts";
export * from "./find_ports.ts";
export * from "./hosts_standin.ts";
export * from "./log_standin.ts";
export * from "./log_store.ts";
export * from "./platform_standin.ts";
export * from "./process_output.ts";
export * from "./test_fleet.ts";
export * from "./worker_standin.ts";
export * from "./worker_tasks.ts";
export * from "./store/memory_executors.ts";
export * from "./store/memory_store.ts";
export * from "./store/platform_http.ts";
