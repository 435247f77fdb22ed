/**
 * Returns a function that shares calls between callers at the same time. A
 * result only goes to callers that came before its call began, so that it is
 * never older than their request.
 */
export function shareCalls<Result>(
  call: () => Promise<Result>,
): () => Promise<Result> {
  let running: Promise<Result> | undefined;
  let next: Promise<Result> | undefined;
  const start = () => {
    next = undefined;
    running = call().finally(() => running = undefined);
    return running;
  };
  return () => {
    if (next !== undefined) return next;
    if (running === undefined) return start();
    return next = running.then(start, start);
  };
}
