import { emptyObjectSet, type ObjectSet } from "@lagoonloom/objects";

/** Entry host that takes part, as the log knows it. */
export type Member = {
  name: string;
  incarnation: string;
  dataCentre: string;
  peerAddress: string;
  operatorAddress: string;
  /** Member that alone may report the loss of this one, if named. */
  watcher: string | undefined;
  /** Log time of its `member.joined` record in milliseconds. */
  joinedAtMs: number;
};

/** Folded state of the stream `control`. */
export type FleetState = {
  /** Next offset to fold. */
  nextOffset: number;
  /** Version of the set in force; 0 before the first one. */
  setVersion: number;
  set: ObjectSet;
  /** Counts the changes of membership. */
  generation: number;
  members: Map<string, Member>;
};

/**
 * Returns the state before the first record.
 *
 * @example
 * ```ts
 * const state = emptyFleetState();
 * ```
 */
export function emptyFleetState(): FleetState {
  return {
    nextOffset: 0,
    setVersion: 0,
    set: emptyObjectSet(),
    generation: 0,
    members: new Map(),
  };
}
