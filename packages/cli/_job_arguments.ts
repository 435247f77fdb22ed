import { JobSubmission } from "@lagoonloom/operators";
import type { JobSubmitRequest } from "./job_command.ts";

/** Fields of a job by the option that gives them. */
const OPTIONS = {
  "--team": "team",
  "--urgency": "urgency",
  "--cores": "cores",
  "--memory-gb": "memory_gb",
  "--accelerators": "accelerators",
  "--run-s": "run_s",
  "--data-centres": "data_centres",
} as const;

const NUMBERS = new Set<string>([
  "cores",
  "memory_gb",
  "accelerators",
  "run_s",
]);

const Request = JobSubmission.omit({ requestId: true, operator: true });

/** Reads a job from its options, or says what is wrong with one. */
export function parseJob(
  job: string,
  readOption: (option: string) => string | undefined,
): JobSubmitRequest | string {
  const fields: Record<string, unknown> = { job };
  for (const [option, field] of Object.entries(OPTIONS)) {
    const text = readOption(option);
    if (text === undefined) continue;
    if (field === "data_centres") fields[field] = text.split(",");
    // Text that is empty is no number, although Number("") is 0.
    else if (NUMBERS.has(field) && text !== "") fields[field] = Number(text);
    else fields[field] = text;
  }
  const parsed = Request.safeParse(fields);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0]!;
  const option = Object.entries(OPTIONS)
    .find(([, field]) => field === issue.path[0])?.[0];
  return `${option ?? "The name of the job"}: ${issue.message}`;
}
