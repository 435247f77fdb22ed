import type { WireAnswer } from "./forwarded.ts";

/** Outcome of an order as one entry host knows it. */
export type HeldOutcome =
  | { type: "running" }
  | { type: "completed"; answer: WireAnswer }
  | { type: "not-run" }
  | { type: "unknown" }
  /** The entry host has seen no claim of the order. */
  | { type: "not-found" };
