import type { WireAnswer } from "./forwarded.ts";

/** What one entry host knows of the outcome of an order. */
export type KnownOutcome =
  | { type: "running" }
  | { type: "completed"; answer: WireAnswer }
  | { type: "not-run" }
  | { type: "unknown" }
  /** The entry host has seen no claim of the order. */
  | { type: "not-found" };
