import type { WireAnswer } from "./forwarded.ts";

/** Outcome of a claimed order as its holder knows it. */
export type HeldOutcome =
  | { type: "running" }
  | { type: "completed"; answer: WireAnswer }
  | { type: "not-run" }
  | { type: "unknown" };
