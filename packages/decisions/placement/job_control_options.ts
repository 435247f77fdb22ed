/**
 * Options of the control loop for jobs.
 *
 * @module
 */

import type { DeciderTerm } from "../deciders/planned_record.ts";

/** Role of this daemon for a data centre. */
export type JobRole =
  /** It holds the decider's lease and places jobs. */
  | { type: "decider"; term: DeciderTerm }
  /** It was the last decider, can't read the log, and only renews leases. */
  | { type: "renewer"; term: DeciderTerm };

/** Options of {@linkcode JobControl.advance}. */
export type AdvanceJobsOptions = {
  /** Role of this daemon, or undefined if it has none. */
  role: JobRole | undefined;
  /** Log time now in milliseconds. */
  nowMs: number;
  /** Reports whether a member is known to have folded up to an offset. */
  hasFolded?: (member: string, offset: number) => boolean;
  /** Whether urgent jobs may preempt others; true by default. */
  mayPreempt?: boolean;
};

/** Options of {@linkcode createJobControl}. */
export type JobControlOptions = { scope: string; holder: string };
