import { sleep } from "../_sleep.ts";

/** Period in which the other members are asked while the store is away. */
const ASK_INTERVAL_MS = 300;

/** Longest wait for one member. */
const ASK_TIMEOUT_MS = 250;

/** Age up to which the answer of a member counts. */
const MAX_AGE_MS = 800;

/** Members that reach the store while this one does not. */
export type Relays = {
  /** Addresses of the members that said so lately. */
  reachable(): string[];
  close(): void;
};

/** Options of {@linkcode createRelays}. */
export type RelaysOptions = {
  /** Whether the store does not answer this member. */
  isStoreAway(): boolean;
  /** Addresses of the other members. */
  others(): string[];
  /** Asks a member whether it reaches the store; undefined without answer. */
  reach(address: string, timeoutMs: number): Promise<boolean | undefined>;
};

/**
 * Keeps the list of members that can store a record for this one. They are
 * asked before a record is sent to them, since a record that a silent member
 * may have stored can't be refused any more.
 *
 * @example
 * ```ts
 * const relays = createRelays({ isStoreAway, others, reach });
 * const [address] = relays.reachable();
 * ```
 */
export function createRelays(options: RelaysOptions): Relays {
  const answeredAt = new Map<string, number>();
  let isClosed = false;

  const ask = async (address: string) => {
    const isReached = await options.reach(address, ASK_TIMEOUT_MS);
    if (isReached === true) answeredAt.set(address, performance.now());
    else answeredAt.delete(address);
  };

  const watch = async () => {
    while (!isClosed) {
      if (options.isStoreAway()) {
        await Promise.all(options.others().map(ask));
      } else answeredAt.clear();
      await sleep(ASK_INTERVAL_MS);
    }
  };
  void watch();

  return {
    reachable() {
      const sinceMs = performance.now() - MAX_AGE_MS;
      return [...answeredAt].filter(([, atMs]) => atMs >= sinceMs)
        .map(([address]) => address);
    },
    close() {
      isClosed = true;
    },
  };
}
