/** Header as it travels between entry hosts. */
export type WireHeader = { name: string; value: string };

/** Request that another entry host runs, with the fields of the peer call. */
export type ForwardedRequest = {
  requestId: string;
  service: string;
  urgency: string;
  method: string;
  path: string;
  headers: WireHeader[];
  body: Uint8Array;
  remainingMs: number;
  idempotent: boolean;
};

/** Answer as it travels between entry hosts. */
export type WireAnswer = {
  status: number;
  headers: WireHeader[];
  body: Uint8Array;
};

/** Result of a forwarded request. */
export type ForwardedResult =
  | { type: "answer"; answer: WireAnswer }
  | {
    type: "failure";
    /** Whether the request provably did not run. */
    notRun: boolean;
    reason: string;
    retryAfterMs: number;
  };
