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

/** What a daemon does for operators; failures are outcomes, not exceptions. */
export type OperatorHandlers = {
  submitChange: (publication: Publication) => Awaitable<PublicationOutcome>;
  currentSet: () => Awaitable<VersionedSet>;
  status: () => Awaitable<DaemonStatus>;
  /** Returns the newest publications that took effect, newest first. */
  history: (limit: number) => Awaitable<HistoryEntry[]>;
  /** Returns undefined if there is no such object. */
  explain: (
    kind: ExplainedKind,
    name: string,
  ) => Awaitable<Explanation | undefined>;
  /** Returns `unknown` for an id that the daemon has not folded. */
  publication: (id: string) => Awaitable<PublicationOutcome>;
  submitJob: (submission: JobSubmission) => Awaitable<JobOutcome>;
  cancelJob: (
    job: string,
    cancellation: JobCancellation,
  ) => Awaitable<JobOutcome>;
  /** Returns the jobs in a state, or all of them, newest change first. */
  listJobs: (state: string | undefined) => Awaitable<JobList>;
};
