/**
 * Encoding of the folded state that does not block the event loop for long.
 *
 * @module
 */

import {
  encodeCheckpoint,
  encodeCheckpointSlices,
  type FleetState,
} from "@lagoonloom/decisions";

/** Longest time in milliseconds that the encoding blocks the event loop. */
const MAX_BLOCKING_MS = 5;

/** Attempts after which the state is encoded without a pause. */
const MAX_ATTEMPTS = 8;

/** State at one offset, encoded as the chunks of a checkpoint. */
export type EncodedState = { offset: number; chunks: string[] };

/**
 * Encodes the folded state over several turns of the event loop, since this
 * takes 33 ms for 3,600 hosts. Records change the state in place, so the
 * encoding starts again if one is folded in between. After
 * {@linkcode MAX_ATTEMPTS} attempts the state is encoded without a pause, so
 * that a steady stream of records can't prevent checkpoints.
 *
 * @example
 * ```ts
 * const { offset, chunks } = await encodeInTurns(() => fold.state());
 * ```
 */
export async function encodeInTurns(
  currentState: () => FleetState,
): Promise<EncodedState> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const state = currentState();
    const offset = state.nextOffset;
    const isSame = () =>
      currentState() === state && state.nextOffset === offset;
    const chunks = await encodeUnchanged(state, isSame);
    if (chunks !== undefined) return { offset, chunks };
  }
  const state = currentState();
  return { offset: state.nextOffset, chunks: encodeCheckpoint(state) };
}

/** Returns undefined if the state changed between two turns. */
async function encodeUnchanged(
  state: FleetState,
  isSame: () => boolean,
): Promise<string[] | undefined> {
  const slices = encodeCheckpointSlices(state);
  let startedAtMs = performance.now();
  for (;;) {
    const slice = slices.next();
    if (slice.done === true) return slice.value;
    if (performance.now() - startedAtMs < MAX_BLOCKING_MS) continue;
    await new Promise((resolve) => setImmediate(resolve));
    if (!isSame()) return undefined;
    startedAtMs = performance.now();
  }
}
