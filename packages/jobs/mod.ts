/**
 * Accepts jobs and stores them, places their tasks on executors, follows the
 * runs and reports the states of the jobs. Members share the work by owning
 * partitions of the jobs.
 *
 * @module
 */

export * from "./accepted/accept_job.ts";
export * from "./accepted/refuse_beyond_weight.ts";
export * from "./burst_counter.ts";
export * from "./fleet.ts";
export * from "./job_event_log.ts";
export * from "./member_options.ts";
export * from "./organisations/keys/mod.ts";
export * from "./owned/follow_topic.ts";
export * from "./owned/layout.ts";
export * from "./owned/member_name.ts";
export * from "./owned/owner_directory.ts";
export * from "./owned/ownership.ts";
export * from "./owned/owner_state.ts";
export * from "./owned/partition_owner.ts";
export type { ReservationMode } from "./placed/reserved/reservation_books.ts";
export * from "./ports.ts";
export * from "./queries/query_owner.ts";
export * from "./queries/query_result.ts";
export * from "./submission.ts";
export * from "./topics.ts";
export * from "./member.ts";
