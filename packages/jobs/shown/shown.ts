/** Answer of an owner; `unavailable` if none can be had in time. */
export type Shown<Value> =
  | { type: "known"; value: Value }
  | { type: "missing" }
  | { type: "unavailable" };
