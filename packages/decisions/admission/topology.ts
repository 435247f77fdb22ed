/**
 * Pools, executors and services that a scheduler works with.
 *
 * @module
 */

/** Executor with the slots that one entry host owns. */
export type TopologyHost = {
  name: string;
  /** Indexes of the slots that this entry host owns and may use now. */
  slots: readonly number[];
  /** Whether it gets no new requests, because it leaves the pool. */
  isLeaving: boolean;
};

/** Pool, with its executors in the data centre of this entry host. */
export type TopologyPool = {
  name: string;
  hosts: readonly TopologyHost[];
  /**
   * Executors of the pool in all data centres, of which a share limits the
   * ejection of outliers.
   */
  size?: number;
};

/** Service with its guarantee and the pools that it may use. */
export type TopologyService = {
  name: string;
  /** Home pool, of which it is guaranteed a share. */
  pool: string;
  /** Guaranteed share of the home pool's slots in percent. */
  sharePercent: number;
  /** Other pools whose idle slots it may borrow, in order of preference. */
  overflow: readonly string[];
  /** Declared run time of a request in milliseconds. */
  runTimeMs: number;
};

/** Slots of a pool that another entry host reported. */
export type RemoteSlots = {
  member: string;
  pool: string;
  /** Free slots that requests of any service may use. */
  free: number;
  /** Borrowed slots that return to the pool's own services if they ask. */
  lent?: number;
  isSameDataCentre: boolean;
};

/** Pools and services that the scheduler of one entry host works with. */
export type Topology = {
  pools: readonly TopologyPool[];
  services: readonly TopologyService[];
};
