import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import {
  createQueue,
  createReroutedWorld,
  type ReroutedWorld,
  TIMEOUT_MS,
  waitUntil,
} from "../_rerouted_world.ts";
import { sleep } from "../_sleep.ts";
import { parseMemberName } from "../owned/member_name.ts";
import { JOBS_TOPIC, OWNERS_GROUP } from "../topics.ts";

/** Channel of the runtime on which servers publish accepted connections. */
const ACCEPTED = "net.server.socket";

/** Time in which owners agree that another one is isolated, and some more. */
const SETTLE_MS = 9_000;

const QUEUE = createQueue("quoting");

describe("startMember without a way to it from the other members", () => {
  let world: ReroutedWorld;
  let sockets: Set<Socket>;
  /** Ports of the members that get no calls. */
  let cutPorts: Set<number>;
  let asking: NodeJS.Timeout;
  let ownerAddresses: Map<number, string>;

  const dropIfCut = (socket: Socket) => {
    if (cutPorts.has(socket.localPort ?? 0)) socket.destroy();
  };

  const watch = (message: unknown) => {
    const { socket } = message as { socket: Socket };
    sockets.add(socket);
    dropIfCut(socket);
  };

  const cut = (...addresses: string[]) => {
    cutPorts = new Set(
      addresses.map((address) => Number(address.split(":")[1])),
    );
    for (const socket of sockets) dropIfCut(socket);
  };

  const readOwners = async () => {
    const owners = await world.store.owners(OWNERS_GROUP);
    ownerAddresses = new Map(
      [...owners!].map(([partition, name]) =>
        [partition, parseMemberName(name)?.address ?? ""] as const
      ),
    );
    return new Set(ownerAddresses.values());
  };

  /** Waits until the owners have or don't have an address. */
  const waitForOwner = async (address: string, isOwner: boolean) => {
    let hasAddress = !isOwner;
    await waitUntil(() => {
      void readOwners().then((owners) => hasAddress = owners.has(address));
      return hasAddress === isOwner;
    });
  };

  beforeEach(async () => {
    sockets = new Set();
    cutPorts = new Set();
    subscribe(ACCEPTED, watch);
    world = await createReroutedWorld({ partitions: 8 });
    await world.start();
    await world.start();
    await world.accept(world.members[0]!, "job", QUEUE);
    await waitForSettledOwners();
    asking = setInterval(() => {
      for (const member of world.members) {
        void member.getJobState("job", { queue: QUEUE, timeoutMs: TIMEOUT_MS });
      }
    }, 500);
  });

  /** Waits until all members are owners. */
  const waitForSettledOwners = async () => {
    let count = 0;
    await waitUntil(() => {
      void readOwners().then((owners) => count = owners.size);
      return count === world.members.length;
    });
  };

  afterEach(async () => {
    clearInterval(asking);
    cut();
    await sleep(TIMEOUT_MS);
    await world.close();
    unsubscribe(ACCEPTED, watch);
  });

  /** Returns the address of the owner of the job. */
  const findJobOwner = async () => {
    await readOwners();
    const partition = [...ownerAddresses.keys()].find((candidate) =>
      world.store.readNewestValues({
        topic: JOBS_TOPIC,
        partition: candidate,
      }).has("job")
    );
    return ownerAddresses.get(partition!)!;
  };

  // Guards against jobs whose states nobody learns while their silent owner
  // renews its membership at the store, as in issue 68.
  test("gives up its partitions when no other owner reaches it", async () => {
    const address = await findJobOwner();
    cut(address);
    await waitForOwner(address, false);
    const states = await Promise.all(
      world.members.map((member) => world.readState(member, "job", QUEUE)),
    );
    expect(states.every(({ type }) => type === "known")).toBe(true);
  });

  // Guards against partitions that move to and fro while an owner is cut off.
  test("stays out until it is reached again", async () => {
    const address = await findJobOwner();
    cut(address);
    await waitForOwner(address, false);
    await sleep(SETTLE_MS);
    expect(await readOwners()).not.toContain(address);
    cut();
    await waitForOwner(address, true);
  });

  // Guards against jobs that nobody runs while all links are down.
  test("keeps its partitions while nobody reaches anybody", async () => {
    const before = await readOwners();
    cut(...before);
    await sleep(SETTLE_MS);
    expect(await readOwners()).toEqual(before);
  });
});
