import type { ExchangeResult } from "@lagoonloom/endpoints";
import type { ProblemDetails } from "./problem_details.ts";

/** What a caller is answered. */
export type CallerOutcome =
  | Exclude<ExchangeResult, { type: "failed" }>
  | { type: "problem"; problem: ProblemDetails };
