/**
 * Result of a query to a partition's owner; `unavailable` if no owner could
 * answer in time.
 */
export type QueryResult<Value> =
  | { type: "known"; value: Value }
  | { type: "missing" }
  | { type: "unavailable" };

/** Result of a query to one owner, which may name the partition to ask. */
export type LocatedResult<Value> =
  | QueryResult<Value>
  | { type: "elsewhere"; partition: number };
