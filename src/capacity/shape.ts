/** What is measured at: a deployment's size and its load on keys. */
export interface Shape {
  readonly daemons: number;
  /** Servers of the one keyed service. */
  readonly servers: number;
  /** Requests for keys a second at each daemon. */
  readonly keyedRequests: number;
}

/** What a shape costs, for each second of virtual time. */
export interface ControlCost {
  readonly shape: Shape;
  readonly units: number;
  /** Processor time of the leader, in milliseconds. */
  readonly leaderMilliseconds: number;
  /** The same of one follower. */
  readonly followerMilliseconds: number;
  readonly leaderBytesSent: number;
  readonly leaderBytesReceived: number;
  readonly serverCalls: number;
  readonly storeWrites: number;
}
