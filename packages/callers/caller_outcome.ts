import type { ExchangeResult } from "@lagoonloom/endpoints";
import type { ProblemDetails } from "./problem_details.ts";

/** Response to a caller: that of an executor, or a problem. */
export type CallerOutcome =
  | Exclude<ExchangeResult, { type: "failed" }>
  | { type: "problem"; problem: ProblemDetails };
