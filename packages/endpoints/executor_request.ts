/** Request to an executor. */
export type ExecutorRequest = {
  id: string;
  /** IP address and port. */
  address: string;
  method: string;
  /** Path with its query. */
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
  /** Time left for the whole exchange in milliseconds. */
  remainingMs: number;
  /**
   * Whether an idle connection may be used. The executor may close an idle
   * connection while the request is on its way, which leaves the outcome of a
   * non-idempotent request unknown.
   */
  mayReuseConnection: boolean;
  /** Checked on a connected socket immediately before the first byte. */
  maySend: () => boolean;
};
