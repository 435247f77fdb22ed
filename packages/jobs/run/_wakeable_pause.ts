/** Pause of one caller that can be ended early. */
export type WakeablePause = {
  /** Waits for a time in milliseconds, or until `wake` is called. */
  pause(ms?: number): Promise<void>;
  /** Ends the pause, if there is one. */
  wake(): void;
};

/** Creates a pause that can be ended early. */
export function createWakeablePause(): WakeablePause {
  let end: (() => void) | undefined;
  return {
    pause: (ms) =>
      new Promise((resolve) => {
        const timer = ms === undefined ? undefined : setTimeout(resolve, ms);
        end = () => {
          clearTimeout(timer);
          resolve();
        };
      }),
    wake: () => end?.(),
  };
}
