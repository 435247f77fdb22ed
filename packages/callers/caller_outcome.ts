import type { ExchangeResult } from "@lagoonloom/endpoints";
import type { ProblemAnswer } from "./problem_answer.ts";

/** What a caller is answered. */
export type CallerOutcome =
  | Exclude<ExchangeResult, { type: "failed" }>
  | { type: "problem"; problem: ProblemAnswer };
