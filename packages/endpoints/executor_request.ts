/** Request to an executor. */
export type ExecutorRequest = {
  /** Id of the request, which the response has to repeat. */
  id: string;
  /** IP address and port of the executor. */
  address: string;
  method: string;
  /** Path with its query. */
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
  /** Time left until the response has to be complete, in milliseconds. */
  remainingMs: number;
  /**
   * Whether an idle connection may be reused. The executor may close it while
   * the request is in transit, so that the outcome of a non-idempotent request
   * would be unknown.
   */
  mayReuseConnection: boolean;
  /** Called on a connected socket immediately before the first byte is sent. */
  maySend: () => boolean;
};
