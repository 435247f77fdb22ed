import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
  AwaitOutcomeRequest,
  AwaitOutcomeResponseSchema,
  ForwardRequest,
  ForwardResponseSchema,
  HeartbeatRequest,
  HeartbeatResponseSchema,
  SnapshotChunkSchema,
  TailRequest,
  TailResponseSchema,
} from "./gen/lagoonloom/peers/v1/peers_pb.ts";

/** Handlers for the calls of other entry hosts. */
export type PeerHandlers = {
  /** Exchanges liveness, offsets and free slots. */
  heartbeat(
    request: HeartbeatRequest,
  ): MessageInitShape<typeof HeartbeatResponseSchema>;
  /**
   * Runs a request on a slot of this entry host. The signal aborts when the
   * sender disconnects or the deadline of the call passes.
   */
  forward(
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<MessageInitShape<typeof ForwardResponseSchema>>;
  /** Waits for the outcome of a non-idempotent request handled here. */
  awaitOutcome(
    request: AwaitOutcomeRequest,
    signal: AbortSignal,
  ): Promise<MessageInitShape<typeof AwaitOutcomeResponseSchema>>;
  /** Returns the state built from the log, in chunks; none without a state. */
  snapshot(): Iterable<MessageInitShape<typeof SnapshotChunkSchema>>;
  /** Returns records of the log that are in memory. */
  tail(request: TailRequest): MessageInitShape<typeof TailResponseSchema>;
};
