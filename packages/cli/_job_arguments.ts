/**
 * Options of the command `job submit`.
 *
 * @module
 */

import { JobSubmission } from "@lagoonloom/operators";
import type { JobSubmitRequest } from "./job_command.ts";

/** Field of a job that each option sets. */
const FIELDS_BY_OPTION = {
  "--team": "team",
  "--urgency": "urgency",
  "--cores": "cores",
  "--memory-gb": "memory_gb",
  "--accelerators": "accelerators",
  "--run-s": "run_s",
  "--data-centres": "data_centres",
} as const;

const NUMBER_FIELDS = new Set<string>([
  "cores",
  "memory_gb",
  "accelerators",
  "run_s",
]);

const JobRequest = JobSubmission.omit({ requestId: true, operator: true });

/** Parses a job from its options, or describes the first invalid option. */
export function parseJob(
  job: string,
  readOption: (option: string) => string | undefined,
): JobSubmitRequest | string {
  const fields: Record<string, unknown> = { job };
  for (const [option, field] of Object.entries(FIELDS_BY_OPTION)) {
    const text = readOption(option);
    if (text === undefined) continue;
    if (field === "data_centres") fields[field] = text.split(",");
    // An empty text is not a number, although Number("") is 0.
    else if (NUMBER_FIELDS.has(field) && text !== "") {
      fields[field] = Number(text);
    } else fields[field] = text;
  }
  const parsed = JobRequest.safeParse(fields);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0]!;
  const option = Object.entries(FIELDS_BY_OPTION)
    .find(([, field]) => field === issue.path[0])?.[0];
  return `${option ?? "The name of the job"}: ${issue.message}`;
}
