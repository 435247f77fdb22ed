/**
 * Follows the layout, and gives partitions to services that have none yet.
 *
 * @module
 */

import type { Configuration } from "./fleet.ts";
import {
  type Layout,
  planLayout,
  readLayout,
  storeLayout,
} from "./owned/layout.ts";
import type { Store } from "./ports.ts";

/** Interval of the check for services without partitions. */
const LAYOUT_CHECK_INTERVAL_MS = 250;

/** Watch on the layout. */
export type LayoutWatch = {
  /** Layout as it was read last; empty at first. */
  layout(): Layout;
  /** Has the layout read again, as it lacks a service. */
  request(): void;
  start(): void;
  close(): void;
};

/** Creates a watch on the layout of the store, which waits for `start`. */
export function createLayoutWatch(options: {
  store: Store;
  partitionCount: number;
  configuration(): Configuration | undefined;
  /** Called once a layout with all services of the configuration is read. */
  onComplete(): void;
}): LayoutWatch {
  const { store, partitionCount } = options;
  let layout: Layout = new Map();
  /** Whether a service is missed, beside those of the configuration. */
  let isRequested = false;
  let isClosed = false;

  const extendLayout = async () => {
    const configuration = options.configuration();
    if (configuration === undefined) return;
    const isComplete = () =>
      configuration.services.every(({ name }) => layout.has(name));
    if (isComplete() && !isRequested) return;
    const stored = await readLayout(store);
    if (stored === undefined) return;
    layout = stored.layout;
    isRequested = false;
    if (isComplete()) {
      options.onComplete();
      return;
    }
    await storeLayout(store, {
      layout: planLayout(layout, {
        services: configuration.services.map(({ name }) => name),
        partitionCount,
      }),
      nextOffset: stored.nextOffset,
    });
  };

  const watchLayout = async () => {
    while (!isClosed) {
      await extendLayout();
      await new Promise((resolve) =>
        setTimeout(resolve, LAYOUT_CHECK_INTERVAL_MS)
      );
    }
  };

  return {
    layout: () => layout,
    request() {
      isRequested = true;
    },
    start: () => void watchLayout(),
    close() {
      isClosed = true;
    },
  };
}
