/**
 * Explanations that answer operators' questions about the fleet.
 *
 * @module
 */

/** Answer to an operator's question. */
export type Explanation = {
  /** The current state, what it waits for and what would change that. */
  sentences: string[];
  /** Values on which the sentences are based. */
  facts: Record<string, unknown>;
};

/**
 * Formats a log time in milliseconds as ISO 8601.
 *
 * @example
 * ```ts
 * formatTime(0); // "1970-01-01T00:00:00.000Z"
 * ```
 */
export function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString();
}

/**
 * Creates the explanation for an object that does not exist.
 *
 * @example
 * ```ts
 * unknownObject("host", "host-1");
 * ```
 */
export function unknownObject(kind: string, name: string): Explanation {
  return {
    sentences: [`The set in force has no ${kind} "${name}".`],
    facts: {},
  };
}
