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

/** What an entry host does for the calls of other ones. */
export type PeerHandlers = {
  heartbeat(
    request: HeartbeatRequest,
  ): MessageInitShape<typeof HeartbeatResponseSchema>;
  /** The signal aborts when the caller has gone or its deadline is over. */
  forward(
    request: ForwardRequest,
    signal: AbortSignal,
  ): Promise<MessageInitShape<typeof ForwardResponseSchema>>;
  awaitOutcome(
    request: AwaitOutcomeRequest,
    signal: AbortSignal,
  ): Promise<MessageInitShape<typeof AwaitOutcomeResponseSchema>>;
  /** Returns the folded state in chunks; none if there is no state. */
  snapshot(): Iterable<MessageInitShape<typeof SnapshotChunkSchema>>;
  tail(request: TailRequest): MessageInitShape<typeof TailResponseSchema>;
};
