/** Executor as one entry host sees it. */
export type TopologyHost = {
  name: string;
  /** Indexes of the slots that this entry host owns and may use now. */
  slots: readonly number[];
  /** A leaving host gets no new work. */
  isLeaving: boolean;
};

/** Pool with the executors of this entry host's data centre. */
export type TopologyPool = {
  name: string;
  hosts: readonly TopologyHost[];
  /** Executors of the pool in all data centres; limits outlier ejection. */
  size?: number;
};

/** Service with its guarantee. */
export type TopologyService = {
  name: string;
  pool: string;
  sharePercent: number;
  overflow: readonly string[];
  runTimeMs: number;
};

/** Free slots of a pool that another entry host reported. */
export type RemoteSlots = {
  member: string;
  pool: string;
  free: number;
  /** Slots that the pool's own services could have back from borrowers. */
  lent?: number;
  isSameDataCentre: boolean;
};

/** What the scheduler of one entry host works on. */
export type Topology = {
  pools: readonly TopologyPool[];
  services: readonly TopologyService[];
};
