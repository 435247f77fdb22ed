/**
 * Access of a member to the owners of partitions, in its own process and in
 * other members.
 *
 * @module
 */

import { createOwnerClient, type OwnerClient } from "@lagoonloom/peers";
import { logCallFailure } from "./_log_call_failure.ts";
import type { JobEventLog } from "./job_event_log.ts";
import type { Layout } from "./owned/layout.ts";
import { createOwnerDirectory } from "./owned/owner_directory.ts";
import type { PartitionOwner } from "./owned/partition_owner.ts";
import type { Store } from "./ports.ts";
import { createOwnerSilence } from "./queries/owner_silence.ts";
import type { OwnerAccess } from "./queries/query_owner.ts";
import { createStoredStates } from "./queries/stored_states.ts";
import type { Reachability } from "./reachability/reachability.ts";

/** Options of {@linkcode createOwnerAccess}. */
export type OwnerAccessOptions =
  & Pick<OwnerAccess, "ownAddress" | "noteFullServices">
  & {
    /** Owners in this process, by partition. */
    owners: ReadonlyMap<number, PartitionOwner>;
    store: Store;
    layout(): Layout;
    events: JobEventLog;
    /** Is told how each call to another member ends. */
    observer: Pick<Reachability, "noteAnswer" | "noteFailure">;
  };

/** Creates the access of a member; the clients of other members last. */
export function createOwnerAccess(
  { owners, store, layout, events, observer, ...options }: OwnerAccessOptions,
): OwnerAccess & { close(): void } {
  const clients = new Map<string, OwnerClient>();
  return {
    ...options,
    localOwner: (partition) => owners.get(partition),
    directory: createOwnerDirectory(store),
    silence: createOwnerSilence(events),
    storedStates: createStoredStates({ store, layout }),
    client(address) {
      let client = clients.get(address);
      if (client === undefined) {
        client = createOwnerClient(address, {
          onFailure(failure) {
            logCallFailure(events, address, failure);
            observer.noteFailure(address, failure);
          },
          onAnswer: () => observer.noteAnswer(address),
        });
        clients.set(address, client);
      }
      return client;
    },
    close() {
      for (const client of clients.values()) client.close();
    },
  };
}
