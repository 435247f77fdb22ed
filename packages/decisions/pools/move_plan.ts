/**
 * Plan of the moves of hosts between pools.
 *
 * @module
 */

import type { PlannedRecord } from "../deciders/planned_record.ts";

/** Next steps of the moves in one data centre. */
export type MovePlan = {
  records: PlannedRecord[];
  /** Hosts that belong to their new pool and have to restart now. */
  reboots: string[];
  /** Reasons of the pools that lack hosts and get none now. */
  waiting: Map<string, string>;
};
