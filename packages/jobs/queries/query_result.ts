/**
 * Result of a query to a partition's owner; `unavailable` if no owner could
 * answer in time.
 */
export type QueryResult<Value> =
  | { type: "known"; value: Value }
  | { type: "missing" }
  | { type: "unavailable" };
