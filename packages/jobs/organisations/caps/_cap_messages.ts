/**
 * Owners and brokers of one organisation's cap, with a network between them on
 * which messages are lost, late or repeated.
 *
 * @module
 */

import { createConfiguration } from "../../_record_fixtures.ts";
import type { Configuration } from "../../fleet.ts";
import type { Size } from "../../submission.ts";
import { NOTHING, plus } from "./_amounts.ts";
import {
  type CapBroker,
  createCapBroker,
  type LimitAnswer,
} from "./cap_broker.ts";
import { createOrganisationCaps } from "./organisation_caps.ts";
import {
  createOrganisationLimits,
  type LimitMessage,
  type OrganisationLimits,
} from "./organisation_limits.ts";

const NAME = "northwind";

/** Time between two rounds of messages. */
const ROUND_MS = 500;

function cpuOf(cpu: number): Size {
  return { cpu, memoryMb: cpu / 2, accelerators: 0 };
}

/** Process that owns a partition and may start tasks of one size. */
type Owner = {
  epoch: number;
  limits: OrganisationLimits;
  /** Tasks that may run without being known to run. */
  doubtful: number;
  isPast: boolean;
};

/** Message to the owner of a partition, and its answer. */
export type Call = {
  partition: number;
  broker: CapBroker;
  message: LimitMessage;
  answer: LimitAnswer | undefined;
  isDelivered: boolean;
};

/** Owners and brokers of one organisation, with a network between them. */
export class CapMessages {
  cap: number;
  readonly overshoot: number;
  readonly sizes: number[];
  /** Running and waiting tasks by partition. */
  readonly running: number[];
  readonly waiting: number[];
  /** Rounds since the tasks of a partition began to wait. */
  readonly waited: number[];
  readonly owners: Owner[];
  readonly past: { partition: number; owner: Owner; mayStart: number }[] = [];
  broker: CapBroker;
  calls: Call[] = [];
  epochs = 0;
  /** Highest cap that may be in force. */
  highestCap: number;
  worst = 0;

  constructor(
    { cap, overshoot, sizes }: {
      cap: number;
      overshoot: number;
      sizes: number[];
    },
  ) {
    this.cap = cap;
    this.highestCap = cap;
    this.overshoot = overshoot;
    this.sizes = sizes;
    this.running = sizes.map(() => 0);
    this.waiting = sizes.map(() => 0);
    this.waited = sizes.map(() => 0);
    this.owners = sizes.map(() => this.createOwner(0));
    this.broker = this.createBroker();
  }

  configuration = (): Configuration => ({
    ...createConfiguration(),
    organisations: [{
      name: NAME,
      apiKeys: [],
      weight: 1,
      cap: cpuOf(this.cap),
    }],
  });

  readonly caps = createOrganisationCaps(() => this.configuration());

  createOwner(doubtful: number): Owner {
    const epoch = ++this.epochs;
    return {
      epoch,
      doubtful,
      isPast: false,
      limits: createOrganisationLimits({
        epoch,
        capOvershoot: this.overshoot,
        partitionCount: () => this.sizes.length,
      }),
    };
  }

  createBroker(): CapBroker {
    const partitions = new Set(this.sizes.keys());
    return createCapBroker({
      epoch: ++this.epochs,
      caps: this.caps,
      partitions: () => partitions,
    });
  }

  total(): number {
    return this.running.reduce((sum, it, p) => sum + it * this.sizes[p]!, 0);
  }

  /** A task above the cap may run alone. */
  allowed(): number {
    const cap = Math.max(this.highestCap, ...this.sizes);
    return cap * (1 + this.overshoot);
  }

  start(partition: number, owner: Owner, count: number): number {
    let started = 0;
    while (started < count) {
      const mayRun = this.sizes[partition]! *
        (this.running[partition]! + owner.doubtful + 1);
      const limit = owner.limits.limitOf(NAME, cpuOf(this.cap));
      if (mayRun > limit.cpu) break;
      started++;
      this.running[partition]!++;
      this.worst = Math.max(
        this.worst,
        this.total() - this.allowed(),
      );
    }
    return started;
  }

  startWaiting(partition: number): void {
    const owner = this.owners[partition]!;
    this.waiting[partition]! -= this.start(
      partition,
      owner,
      this.waiting[partition]!,
    );
  }

  end(partition: number, count: number): void {
    this.running[partition] = Math.max(0, this.running[partition]! - count);
  }

  /** A new owner counts what the earlier one may start until it is over. */
  takeOver(partition: number): void {
    const earlier = this.owners[partition]!;
    const prepared = Math.min(this.waiting[partition]!, 3);
    this.waiting[partition]! -= prepared;
    this.past.push({ partition, owner: earlier, mayStart: prepared });
    this.owners[partition] = this.createOwner(earlier.doubtful + prepared);
  }

  /** An earlier owner starts a task that the next one counts as doubtful. */
  startLate(index: number): void {
    const entry = this.past[index % Math.max(1, this.past.length)];
    if (entry === undefined || entry.mayStart === 0) return;
    entry.mayStart -= 1;
    if (this.start(entry.partition, entry.owner, 1) === 0) return;
    const owner = this.owners[entry.partition]!;
    owner.doubtful -= 1;
  }

  /** All executors have answered, so that nothing is doubtful any more. */
  settle(partition: number): void {
    for (const entry of this.past) {
      if (entry.partition === partition) entry.mayStart = 0;
    }
    const owner = this.owners[partition]!;
    this.waiting[partition]! += owner.doubtful;
    owner.doubtful = 0;
  }

  send(): void {
    this.waiting.forEach((count, partition) => {
      this.waited[partition] = count > 0 ? this.waited[partition]! + 1 : 0;
    });
    for (const [partition, message] of this.broker.nextMessages()) {
      const { broker } = this;
      const call = { partition, broker, message, answer: undefined };
      this.calls.push({ ...call, isDelivered: false });
    }
  }

  deliver(call: Call): void {
    const { partition, message } = call;
    const { epoch, limits, doubtful } = this.owners[partition]!;
    const isCurrent = limits.apply(message);
    if (call.isDelivered) return;
    call.isDelivered = true;
    const count = this.running[partition]! + doubtful;
    const size = cpuOf(this.sizes[partition]!);
    const waiting = this.waiting[partition]!;
    const limit = limits.granted().get(NAME) ?? NOTHING;
    const use = {
      mayRun: plus(NOTHING, size, count),
      waiting: plus(NOTHING, size, waiting),
      unit: size,
      waitedMs: ROUND_MS * this.waited[partition]!,
      limit,
    };
    const isFull = message.ownerEpoch !== epoch;
    const isListed = count + waiting > 0 || (isFull && limit.cpu > 0);
    call.answer = {
      ownerEpoch: epoch,
      isOutdated: !isCurrent,
      uses: new Map(isListed ? [[NAME, use]] : []),
    };
  }

  finish(call: Call, isLost: boolean): void {
    this.calls = this.calls.filter((it) => it !== call);
    call.broker.handleAnswer(
      call.partition,
      call.message,
      isLost ? undefined : call.answer,
    );
  }

  /** Plays rounds without faults. */
  playCalmly(rounds: number): void {
    for (let round = 0; round < rounds; round++) {
      this.send();
      for (const call of this.calls) this.deliver(call);
      for (const call of this.calls) this.finish(call, false);
      for (const partition of this.sizes.keys()) this.startWaiting(partition);
    }
  }
}
