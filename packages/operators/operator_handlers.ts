import type { DaemonStatus } from "./daemon_status.ts";
import type { ExplainedKind, Explanation } from "./explanation.ts";
import type {
  JobCancellation,
  JobList,
  JobOutcome,
  JobSubmission,
} from "./job_request.ts";
import type {
  HistoryEntry,
  Publication,
  PublicationOutcome,
  VersionedSet,
} from "./publication.ts";

type Awaitable<Value> = Value | Promise<Value>;

/**
 * Handlers of operators' requests. They return failures as outcomes instead of
 * throwing errors.
 */
export type OperatorHandlers = {
  /** Publishes a change of the object set. */
  submitChange: (publication: Publication) => Awaitable<PublicationOutcome>;
  /** Returns the object set in force. */
  currentSet: () => Awaitable<VersionedSet>;
  status: () => Awaitable<DaemonStatus>;
  /** Returns the newest publications that took effect, newest first. */
  history: (limit: number) => Awaitable<HistoryEntry[]>;
  /** Explains the state of an object; undefined if it does not exist. */
  explain: (
    kind: ExplainedKind,
    name: string,
  ) => Awaitable<Explanation | undefined>;
  /** Returns `unknown` for an id that the daemon has not found in the log. */
  publication: (id: string) => Awaitable<PublicationOutcome>;
  submitJob: (submission: JobSubmission) => Awaitable<JobOutcome>;
  cancelJob: (
    job: string,
    cancellation: JobCancellation,
  ) => Awaitable<JobOutcome>;
  /** Returns the jobs in a state, or all jobs, most recent change first. */
  listJobs: (state: string | undefined) => Awaitable<JobList>;
};
