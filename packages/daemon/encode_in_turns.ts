import {
  encodeCheckpoint,
  encodeCheckpointSlices,
  type FleetState,
} from "@lagoonloom/decisions";

/** Longest time in milliseconds that the encoding holds the loop at once. */
const MAX_BLOCKING_MS = 5;

/** Attempts after which the state is encoded in one turn. */
const MAX_ATTEMPTS = 8;

/** State encoded at one offset. */
export type EncodedState = { offset: number; chunks: string[] };

/**
 * Encodes the folded state over several turns of the loop, since it takes 33 ms
 * for 3,600 hosts. The state is folded in place, so the encoding starts again
 * if a record was folded in between. If that happens too often it is encoded at
 * once: a checkpoint may be late, but the log must not outrun it.
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
