/**
 * Waits for the first answer of calls that end with undefined if they fail.
 *
 * @module
 */

/**
 * Returns the first answer of several calls; undefined if none has one, or not
 * within the timeout.
 */
export function firstAnswer<Answer>(
  calls: readonly Promise<Answer | undefined>[],
  timeoutMs: number,
): Promise<Answer | undefined> {
  if (calls.length === 0) return Promise.resolve(undefined);
  return new Promise((resolve) => {
    let openCount = calls.length;
    const timer = setTimeout(() => resolve(undefined), timeoutMs);
    for (const call of calls) {
      void call.then((answer) => {
        openCount--;
        if (answer === undefined && openCount > 0) return;
        clearTimeout(timer);
        resolve(answer);
      });
    }
  });
}

/** Returns the first answer of several calls that comes before an event. */
export function answerBefore<Answer>(
  calls: readonly Promise<Answer | undefined>[],
  event: Promise<void>,
): Promise<Answer | undefined> {
  return new Promise((resolve) => {
    for (const call of calls) {
      void call.then((answer) => {
        if (answer !== undefined) resolve(answer);
      });
    }
    void event.then(() => resolve(undefined));
  });
}
