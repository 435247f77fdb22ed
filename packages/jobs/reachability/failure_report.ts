/**
 * Reports of members that an owner of partitions gives them no answer, and the
 * topic in which they are stored.
 *
 * @module
 */

import { z } from "zod";
import { parseJson } from "../_parse_json.ts";
import type { KeyedRecord, TopicPartition } from "../ports.ts";
import { REACH_TOPIC } from "../topics.ts";

/** Partition that stores the failure reports. */
export const REACH_PARTITION: TopicPartition = {
  topic: REACH_TOPIC,
  partition: 0,
};

/** Schema of a failure report. */
const FailureReport = z.object({
  /** Address of the owner that gives no answer. */
  target: z.string().min(1),
  /** Address of the member that calls it. */
  reporter: z.string().min(1),
});

/** Report of a member that all its calls to an owner fail. */
export type FailureReport = z.infer<typeof FailureReport>;

/** Separates the addresses in a key. */
const SEPARATOR = "/";

/** Encodes a report. */
export function encodeReport({ target, reporter }: FailureReport): KeyedRecord {
  const key = target + SEPARATOR + reporter;
  return { key, value: JSON.stringify({ target, reporter }) };
}

/** Encodes the withdrawal of a report, which removes its record. */
export function encodeWithdrawal(report: FailureReport): KeyedRecord {
  return { ...encodeReport(report), value: undefined };
}

/** Decodes a report; undefined if it is malformed. */
export function decodeReport(
  value: string | undefined,
): FailureReport | undefined {
  return FailureReport.safeParse(parseJson(value)).data;
}
