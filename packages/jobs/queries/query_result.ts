/**
 * Result of a query to a partition's owner; `unavailable` if no owner could
 * answer in time.
 */
export type QueryResult<Value> =
  | { type: "known"; value: Value }
  | { type: "missing" }
  | { type: "unavailable"; failure?: QueryFailure };

/** Why no owner could answer. */
export type QueryFailure = {
  partition: number;
  /** Address of the owner that was called last; empty if none was. */
  owner: string;
  /** Number of calls to owners. */
  calls: number;
  tookMs: number;
  reason: string;
};

/** Result of a query to one owner, which may name the partition to ask. */
export type LocatedResult<Value> =
  | QueryResult<Value>
  | { type: "elsewhere"; partition: number };
