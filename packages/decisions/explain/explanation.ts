/** Answer to an operator's question. */
export type Explanation = {
  /** What holds, what it waits for and what would change that. */
  sentences: string[];
  /** The values behind the sentences. */
  facts: Record<string, unknown>;
};

/**
 * Formats a log time.
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
 * Returns the answer for an object that does not exist.
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
